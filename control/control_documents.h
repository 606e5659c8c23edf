//===- control/control_documents.h - What operators read --------*- C++ -*-===//
///
/// \file
/// Turns the control replica's state into the documents of the operators'
/// interface, and their requests into changes.
///
//===----------------------------------------------------------------------===//
#ifndef YARDWHEEL_CONTROL_CONTROL_DOCUMENTS_H
#define YARDWHEEL_CONTROL_CONTROL_DOCUMENTS_H

#include "control/control_service.h"
#include "protocol/api.pb.h"

#include <string>

namespace yardwheel {

api::TemplateDocument toDocument(const peer::Template &Source);
api::WorkspaceDocument toDocument(const peer::Workspace &Source);
api::MinionDocument toDocument(const peer::Member &Source);
api::StatusDocument statusOf(const ControlService &Service,
                             const std::string &Replica);
api::ChangeAnswer toDocument(const ProposalOutcome &Outcome,
                             const std::string &ChangeId);

/// Reads KEY, VALUE pairs. \returns what is wrong, one line each, or nothing.
std::string
readParameters(const google::protobuf::RepeatedPtrField<api::Parameter> &Source,
               peer::Parameters &Target);

} // namespace yardwheel

#endif

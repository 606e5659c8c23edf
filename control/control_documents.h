//===- control/control_documents.h - Operators' API documents ---*- C++ -*-===//
///
/// \file
/// Converts the state of a control replica to the documents of the operators'
/// interface, and request documents to changes.
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
api::EvacuationDocument toDocument(const peer::Evacuation &Source,
                                   std::size_t Upstreams);
api::StatusDocument toStatusDocument(const ControlService &Service,
                                     const std::string &Replica);
api::ChangeAnswer toDocument(const ProposalOutcome &Outcome,
                             const std::string &ChangeId);

/// Parses key and value pairs into \p Target.
/// \returns one line per invalid pair; empty if all are valid.
std::string parseParameters(
    const google::protobuf::RepeatedPtrField<api::Parameter> &Source,
    peer::Parameters &Target);

} // namespace yardwheel

#endif

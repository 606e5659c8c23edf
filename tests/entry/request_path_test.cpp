#include "entry/answer_path.h"
#include "entry/request_path.h"

// Must come last because it redefines new.
#include <CppUTest/TestHarness.h>

using namespace yardwheel;

TEST_GROUP(RequestPathTest) {
  CatalogView View;
  api::SubmitRequest Document;
  JobRequest Request;
  std::mt19937_64 Random{1};

  Rejection validate() {
    return *validateSubmission(Document, "bids", View,
                               fromUnixMillis(1800000000000), Random, Request);
  }
};

// An entry that has just started does not know any workspace yet.
TEST(RequestPathTest, UnconfiguredEntryRejectsAsUnavailable) {
  Rejection Found = validate();
  CHECK(Found.Status == HttpStatus::Unavailable);
  HttpAnswer Answer = answerFor("bids", Found);
  CHECK(Answer.RetryAfter.count() > 0);
  STRCMP_CONTAINS("\"ran\":\"unknown\"", Answer.Body.c_str());
}

TEST(RequestPathTest, ConfiguredEntryReportsUnknownWorkspaceAsNotFound) {
  View.Revision = 1;
  CHECK(validate().Status == HttpStatus::NotFound);
}

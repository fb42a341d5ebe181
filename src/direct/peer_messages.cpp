#include "direct/peer_messages.h"

#include "direct/revision.h"

#include <algorithm>

namespace daisytack::direct {

bool isCredible(const RecordsResponse &response) {
  auto isRevision = [](uint64_t it) { return eraOf(it) <= MaxEra; };
  auto hasRevision = [&](const auto &it) { return isRevision(it.Revision); };
  return response.ConfirmationAge >= 0 && response.CompleteStateAge >= 0 &&
         response.AnswerAge >= 0 && response.AnswerDelay >= 0 &&
         response.AnsweringAge >= 0 && isRevision(response.AnsweringRevision) &&
         isRevision(response.UpTo) && isRevision(response.CompleteTo) &&
         isRevision(response.DeletionsMissingTo) &&
         isRevision(response.RestoredTo) &&
         std::all_of(response.Records.begin(), response.Records.end(),
                     hasRevision) &&
         std::all_of(response.Offers.begin(), response.Offers.end(),
                     hasRevision);
}

} // namespace daisytack::direct

#include "context/verified_read.h"

#include <utility>

namespace daisytack {

VerifiedRead::VerifiedRead(const PieceKey &key, std::string version)
    : Key(key), Version(std::move(version)) {}

ReadStep VerifiedRead::reject(PieceFault fault) {
  if (Step != ReadStep::Rejected)
    Fault = fault;
  Step = ReadStep::Rejected;
  Bytes = std::string();
  return Step;
}

ReadStep VerifiedRead::onLookup(const std::optional<LookupAnswer> &answer) {
  if (Step != ReadStep::LookUp)
    return reject(PieceFault::StoreFailed);
  if (!answer || answer->Generation == 0)
    return reject(PieceFault::Missing);
  if (answer->Key != Key)
    return reject(PieceFault::MisKeyed);
  if (answer->Length > MaxPieceFrameBytes)
    return reject(PieceFault::TooLong);
  if (answer->Length < PieceFrameHeaderBytes)
    return reject(PieceFault::Torn);
  Generation = answer->Generation;
  Length = answer->Length;
  return Step = ReadStep::FetchBytes;
}

ReadStep VerifiedRead::onHeader(const PieceHeader &header) {
  if (Step != ReadStep::FetchBytes || HeaderSeen)
    return reject(PieceFault::StoreFailed);
  if (header.Length > MaxPieceFrameBytes)
    return reject(PieceFault::TooLong);
  if (header.Generation == 0)
    return reject(PieceFault::Freed);
  if (header.Generation != Generation)
    return reject(PieceFault::Replaced);
  if (header.Length != Length)
    return reject(PieceFault::Torn);
  HeaderSeen = true;
  Checksum = header.Checksum;
  return Step;
}

ReadStep VerifiedRead::onBytes(std::string bytes) {
  if (Step != ReadStep::FetchBytes || !HeaderSeen)
    return reject(PieceFault::StoreFailed);
  if (bytes.size() != Length)
    return reject(PieceFault::Torn);
  if (sha256(bytes) != Checksum)
    return reject(PieceFault::Corrupt);
  PieceFault fault = PieceFault::None;
  auto frame = decodePieceFrame(bytes, fault);
  if (!frame)
    return reject(fault);
  if (frame->Key != Key)
    return reject(PieceFault::MisKeyed);
  if (frame->Generation != Generation)
    return reject(PieceFault::Replaced);
  Bytes = std::move(bytes);
  return Step = ReadStep::CheckGeneration;
}

ReadStep VerifiedRead::onGeneration(uint64_t generation,
                                    std::string_view engineVersion) {
  if (Step != ReadStep::CheckGeneration)
    return reject(PieceFault::StoreFailed);
  if (generation == 0)
    return reject(PieceFault::Freed);
  if (generation != Generation)
    return reject(PieceFault::Replaced);
  if (engineVersion != Version)
    return reject(PieceFault::VersionChanged);
  return Step = ReadStep::Import;
}

ReadStep VerifiedRead::onFailure() { return reject(PieceFault::StoreFailed); }

std::string_view VerifiedRead::payload() const {
  if (Step != ReadStep::Import)
    return {};
  return std::string_view(Bytes).substr(PieceFrameHeaderBytes);
}

} // namespace daisytack

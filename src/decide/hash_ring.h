/// Consistent-hash ring: places keys on members so that the cost of a lookup
/// does not grow with their number, and a member that comes or goes moves its
/// own keys only. See docs/ROUTING.md for what it was weighed against.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace daisytack {

/// Positions of each member on a ring. The share of keys of one member varies
/// by about 1 / sqrt(PointsPerMember) of the mean.
constexpr uint32_t PointsPerMember = 128;

/// Immutable. Members are named by 64-bit hashes and by their index in the list
/// given.
class HashRing {
public:
  explicit HashRing(std::vector<uint64_t> members);

  const std::vector<uint64_t> &members() const { return Members; }
  /// Bytes held.
  size_t memory() const;

  /// Walks the ring from a key on. A member is met once per position, so the
  /// caller skips those it has seen.
  class Walk {
  public:
    /// Index of the member at the present position; there must be members.
    uint32_t member() const { return Points[At].Member; }
    void advance() {
      if (++At == Points.size())
        At = 0;
    }

  private:
    friend class HashRing;
    struct Point {
      uint32_t Position = 0;
      uint32_t Member = 0;
      auto operator<=>(const Point &) const = default;
    };
    Walk(std::span<const Point> points, size_t at) : Points(points), At(at) {}
    std::span<const Point> Points;
    size_t At;
  };
  Walk walk(uint64_t key) const;
  /// Positions in all: a walk of so many steps has met every member.
  size_t points() const { return Points.size(); }

private:
  size_t bucketOf(uint32_t position) const { return position >> Shift; }

  std::vector<uint64_t> Members;
  std::vector<Walk::Point> Points; ///< Sorted by position, then member.
  std::vector<uint32_t> Buckets;   ///< First point of each range of positions.
  uint32_t Shift = 31;
};

} // namespace daisytack

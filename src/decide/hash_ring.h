/// Consistent-hash ring. The cost of a lookup does not grow with the number of
/// members, and adding or removing a member moves only that member's keys. See
/// docs/ROUTING.md for the alternatives.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace daisytack {

/// Points (virtual nodes) of each member on a ring. The standard deviation of a
/// member's share of the keys is about 1 / sqrt(PointsPerMember) of the mean.
constexpr uint32_t PointsPerMember = 128;

/// An immutable ring. A member is identified by a 64-bit hash in the list given
/// to the constructor, and in results by its index in that list.
class HashRing {
public:
  explicit HashRing(std::vector<uint64_t> members);

  const std::vector<uint64_t> &members() const { return Members; }
  /// Heap memory of the ring, in bytes.
  size_t memory() const;

  /// Iterates over the points of the ring, starting at a key and wrapping
  /// around. Each member comes up PointsPerMember times per round, so the
  /// caller skips the members that it has seen. The ring must outlive the walk.
  class Walk {
  public:
    /// Index of the member at the current point. The ring must not be empty.
    uint32_t member() const { return Points[Index].Member; }
    void advance() {
      if (++Index == Points.size())
        Index = 0;
    }

  private:
    friend class HashRing;
    struct Point {
      uint32_t Position = 0;
      uint32_t Member = 0;
      auto operator<=>(const Point &) const = default;
    };
    Walk(std::span<const Point> points, size_t at)
        : Points(points), Index(at) {}
    std::span<const Point> Points;
    size_t Index;
  };
  Walk walk(uint64_t key) const;
  /// Number of points. A walk over this many points visits every member.
  size_t points() const { return Points.size(); }

private:
  size_t bucketOf(uint32_t position) const { return position >> Shift; }

  std::vector<uint64_t> Members;
  std::vector<Walk::Point> Points; ///< Sorted by position, then member.
  std::vector<uint32_t> Buckets; ///< Index of the first point of each bucket, a
                                 ///< range of positions of equal size.
  uint32_t Shift = 31; ///< Right shift that turns a position into a bucket.
};

} // namespace daisytack

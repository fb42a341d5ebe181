/// Answers queries from the rows of this process.
#pragma once

#include "base/event_ring.h"
#include "query/answer.h"
#include "query/query_ast.h"
#include "runtime/operator_http.h"

namespace daisytack::runtime {

/// Thread-safe. The referenced objects must outlive it.
class OperatorView {
public:
  OperatorView(const OperatorInit &init, const EventRing &events)
      : Init(init), Events(events) {}

  /// Answers the query from this process alone. Operators of a lower role see
  /// less.
  query::Answer answer(const query::Query &query, OperatorRole role) const;

private:
  query::Table rows(const query::Query &query, OperatorRole role) const;
  query::Table eventRows() const;
  std::vector<query::EventGap> gaps() const;

  const OperatorInit &Init;
  const EventRing &Events;
};

} // namespace daisytack::runtime

package org.kumquatplank.core.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The reasons behind the routing decisions of the latest requests. Not thread-safe. */
final class Explanations {
  private static final int MAX_EXPLANATIONS = 5_000;

  private final Map<String, String> byRequestId =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > MAX_EXPLANATIONS;
        }
      };

  void add(String requestId, String text) {
    byRequestId.merge(requestId, text, (a, b) -> a + "; " + b);
  }

  Optional<String> find(String requestId) {
    return Optional.ofNullable(byRequestId.get(requestId));
  }
}

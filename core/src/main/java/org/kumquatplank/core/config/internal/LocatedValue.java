package org.kumquatplank.core.config.internal;

import java.util.List;
import java.util.Map;
import org.kumquatplank.core.config.Finding;

/**
 * A JSON value and its location.
 *
 * @param place location in the text: line, column and path
 * @param content a map of fields, a list, a string, a double, a boolean, or null
 */
record LocatedValue(String place, Object content) {

  @SuppressWarnings("unchecked")
  LocatedObject asObject(List<Finding> findings) {
    if (content instanceof Map<?, ?> fields) {
      return new LocatedObject(place, (Map<String, LocatedValue>) fields, findings);
    }
    findings.add(new Finding(place, "an object is expected"));
    return new LocatedObject(place, Map.of(), findings);
  }

  @SuppressWarnings("unchecked")
  List<LocatedValue> asList(List<Finding> findings) {
    if (content instanceof List<?> values) {
      return (List<LocatedValue>) values;
    }
    findings.add(new Finding(place, "a list is expected"));
    return List.of();
  }
}

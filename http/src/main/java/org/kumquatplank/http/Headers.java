package org.kumquatplank.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The header fields of a message, in order. Names are case-insensitive.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fields the fields
 */
public record Headers(List<Field> fields) {
  /**
   * One header field.
   *
   * @param name name of the field
   * @param value value of the field
   */
  public record Field(String name, String value) {}

  /** Copies the list. */
  public Headers {
    fields = List.copyOf(fields);
  }

  /** Returns headers without fields. */
  public static Headers none() {
    return new Headers(List.of());
  }

  /** Returns these headers with one more field. */
  public Headers with(String name, String value) {
    List<Field> more = new ArrayList<>(fields);
    more.add(new Field(name, value));
    return new Headers(more);
  }

  /** Returns the value of the first field with a name. */
  public Optional<String> first(String name) {
    return fields.stream()
        .filter(f -> f.name().equalsIgnoreCase(name))
        .map(Field::value)
        .findFirst();
  }
}

package org.kumquatplank.core.config.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.kumquatplank.core.config.Finding;

/**
 * A JSON object with typed accessors to its fields. Every error is collected with its location.
 *
 * <p>An accessor that finds an error returns a placeholder value, so that reading continues and all
 * errors are reported together. Not thread-safe.
 */
public final class LocatedObject {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._@-]{0,63}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

  private final String place;
  private final Map<String, LocatedValue> fields;
  private final List<Finding> findings;

  LocatedObject(String place, Map<String, LocatedValue> fields, List<Finding> findings) {
    this.place = place;
    this.fields = fields;
    this.findings = findings;
  }

  /** Returns the location of the object: line, column and path. */
  public String place() {
    return place;
  }

  /**
   * Adds a finding located at the field, or at the object if the field is absent. A finding that
   * exists already is not added again.
   */
  public void addFinding(String field, String message) {
    LocatedValue value = fields.get(field);
    Finding finding =
        value == null
            ? new Finding(place, "\"" + field + "\" " + message)
            : new Finding(value.place(), message);
    if (!findings.contains(finding)) {
      findings.add(finding);
    }
  }

  /** Adds a finding for every field that is not in {@code names}. */
  public void rejectUnknownFields(String... names) {
    Set<String> allowed = new LinkedHashSet<>(Arrays.asList(names));
    for (String field : fields.keySet()) {
      if (!allowed.contains(field)) {
        addFinding(
            field,
            "unknown field \"" + field + "\"; allowed fields are " + String.join(", ", names));
      }
    }
  }

  /** Returns the objects of a list field, or an empty list if the field is absent. */
  public List<LocatedObject> objects(String field, int maxItems) {
    LocatedValue value = fields.get(field);
    if (value == null) {
      return List.of();
    }
    List<LocatedValue> values = value.asList(findings);
    if (values.size() > maxItems) {
      addFinding(field, "holds more than " + maxItems + " items");
    }
    return values.stream().map(v -> v.asObject(findings)).toList();
  }

  /** Returns the distinct strings of a list field, or an empty list if the field is absent. */
  public List<String> strings(String field) {
    LocatedValue value = fields.get(field);
    if (value == null) {
      return List.of();
    }
    List<String> strings = new ArrayList<>();
    for (LocatedValue item : value.asList(findings)) {
      if (!(item.content() instanceof String text)) {
        findings.add(new Finding(item.place(), "a string is expected"));
      } else if (!strings.contains(text)) {
        strings.add(text);
      }
    }
    return strings;
  }

  /** Returns a name: 1 to 64 letters, digits, or any of {@code . _ @ -}. */
  public String name(String field) {
    return matchingString(field, NAME, "is expected: 1 to 64 letters, digits, or any of . _ @ -");
  }

  /** Returns a SHA-256 digest as 64 lowercase hexadecimal digits. */
  public String sha256(String field) {
    return matchingString(field, SHA256, "is expected: 64 lower case hexadecimal digits");
  }

  private String matchingString(String field, Pattern pattern, String expectation) {
    Optional<Object> content = content(field);
    if (content.isPresent()
        && content.get() instanceof String text
        && pattern.matcher(text).matches()) {
      return text;
    }
    addFinding(field, expectation);
    return "";
  }

  /** Returns a number from 0 to 1. */
  public double fraction(String field) {
    Optional<Object> content = content(field);
    if (content.isPresent() && content.get() instanceof Double d && d >= 0 && d <= 1) {
      return d;
    }
    addFinding(field, "a number from 0 to 1 is expected");
    return 0;
  }

  /** Returns a whole number in the range {@code min} to {@code max}. */
  public long wholeNumber(String field, long min, long max) {
    Optional<Object> content = content(field);
    if (content.isPresent()
        && content.get() instanceof Double d
        && d == Math.rint(d)
        && d >= min
        && d <= max) {
      return d.longValue();
    }
    addFinding(field, "a whole number from " + min + " to " + max + " is expected");
    return min;
  }

  /** Returns a whole number in the range, or {@code defaultValue} if the field is absent. */
  public long wholeNumberOrDefault(String field, long min, long max, long defaultValue) {
    return fields.containsKey(field) ? wholeNumber(field, min, max) : defaultValue;
  }

  /** Returns a boolean, or {@code defaultValue} if the field is absent. */
  public boolean booleanOrDefault(String field, boolean defaultValue) {
    if (!fields.containsKey(field)) {
      return defaultValue;
    }
    if (content(field).orElse(null) instanceof Boolean value) {
      return value;
    }
    addFinding(field, "true or false is expected");
    return defaultValue;
  }

  /** Returns a constant of the enum, or {@code defaultValue} if the field is absent. */
  public <E extends Enum<E>> E enumOrDefault(String field, Class<E> type, E defaultValue) {
    if (!fields.containsKey(field)) {
      return defaultValue;
    }
    Object content = content(field).orElse("");
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(content)) {
        return constant;
      }
    }
    String choices =
        Arrays.stream(type.getEnumConstants()).map(Enum::name).collect(Collectors.joining(", "));
    addFinding(field, String.format(Locale.ROOT, "one of %s is expected", choices));
    return defaultValue;
  }

  private Optional<Object> content(String field) {
    return Optional.ofNullable(fields.get(field)).map(LocatedValue::content);
  }
}

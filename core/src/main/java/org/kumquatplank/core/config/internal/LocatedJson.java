package org.kumquatplank.core.config.internal;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.EOFException;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.kumquatplank.core.config.Finding;

/** Parses JSON into values that hold their location in the text. Comments are allowed. */
public final class LocatedJson {
  private static final Pattern PLACE = Pattern.compile("line \\d+ column \\d+ path \\S+");

  private final JsonReader reader;
  private final List<Finding> findings;

  private LocatedJson(JsonReader reader, List<Finding> findings) {
    this.reader = reader;
    this.findings = findings;
  }

  /**
   * Parses a text that contains one JSON object.
   *
   * @param findings receives the errors, also those found later when fields are read
   * @throws SyntaxFault if the text is not valid JSON
   */
  public static LocatedObject parse(String text, List<Finding> findings) {
    JsonReader reader = new JsonReader(new StringReader(text));
    reader.setStrictness(Strictness.LENIENT);
    LocatedJson parser = new LocatedJson(reader, findings);
    try {
      LocatedValue root = parser.readValue();
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw new SyntaxFault(
            new Finding(parser.place(), "unexpected text after the end of the document"));
      }
      return root.asObject(findings);
    } catch (MalformedJsonException | EOFException | IllegalStateException e) {
      throw new SyntaxFault(new Finding(parser.placeIn(e), "invalid JSON syntax"));
    } catch (IOException e) {
      throw new SyntaxFault(new Finding(parser.place(), "the text cannot be read"));
    }
  }

  private LocatedValue readValue() throws IOException {
    JsonToken token = reader.peek();
    String place = place();
    return switch (token) {
      case BEGIN_OBJECT -> new LocatedValue(place, readObject());
      case BEGIN_ARRAY -> new LocatedValue(place, readArray());
      case STRING -> new LocatedValue(place, reader.nextString());
      case NUMBER -> new LocatedValue(place, readNumber());
      case BOOLEAN -> new LocatedValue(place, reader.nextBoolean());
      default -> {
        reader.skipValue();
        yield new LocatedValue(place, null);
      }
    };
  }

  private Object readNumber() throws IOException {
    String text = reader.nextString();
    try {
      return Double.valueOf(text);
    } catch (NumberFormatException e) {
      return text;
    }
  }

  private Map<String, LocatedValue> readObject() throws IOException {
    Map<String, LocatedValue> fields = new LinkedHashMap<>();
    reader.beginObject();
    while (reader.hasNext()) {
      String name = reader.nextName();
      LocatedValue value = readValue();
      if (fields.put(name, value) != null) {
        findings.add(new Finding(value.place(), "duplicate field \"" + name + "\""));
      }
    }
    reader.endObject();
    return fields;
  }

  private List<LocatedValue> readArray() throws IOException {
    List<LocatedValue> values = new ArrayList<>();
    reader.beginArray();
    while (reader.hasNext()) {
      values.add(readValue());
    }
    reader.endArray();
    return values;
  }

  private String place() {
    return placeOf(reader.toString());
  }

  private String placeIn(Exception e) {
    return e.getMessage() == null ? place() : placeOf(e.getMessage() + " " + reader);
  }

  private static String placeOf(String text) {
    Matcher matcher = PLACE.matcher(text);
    return matcher.find() ? matcher.group().replace("path ", "") : "line 1 column 1 $";
  }
}

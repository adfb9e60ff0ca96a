package org.kumquatplank.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The timeline of a request, built from the log lines of all instances and ordered by time.
 *
 * <p>Not thread-safe. Text before the JSON of a line, such as the name of the instance, is kept.
 */
final class RequestTimeline {
  private static final String ID_KEY = "id";

  private final String requestId;
  private final List<Event> events = new ArrayList<>();
  private int unparsableLines;

  private RequestTimeline(String requestId) {
    this.requestId = requestId;
  }

  static RequestTimeline of(String requestId) {
    return new RequestTimeline(requestId);
  }

  /** A log event of the request, with its time in Unix milliseconds. */
  private record Event(long millis, String text) {}

  /** Adds a log line; ignores it when it belongs to another request. */
  void add(String line) {
    int start = line.indexOf('{');
    if (start < 0 || !line.contains(requestId)) {
      return;
    }
    try {
      JsonObject event = JsonParser.parseString(line.substring(start)).getAsJsonObject();
      List<String> fields = new ArrayList<>();
      boolean matches = false;
      if (event.has("kvpList")) {
        for (JsonElement pair : event.getAsJsonArray("kvpList")) {
          for (Map.Entry<String, JsonElement> field : pair.getAsJsonObject().entrySet()) {
            String value = field.getValue().getAsString();
            matches |= field.getKey().equals(ID_KEY) && value.equals(requestId);
            if (!field.getKey().equals(ID_KEY)) {
              fields.add(field.getKey() + "=" + value);
            }
          }
        }
      }
      if (matches) {
        String name = event.get("message").getAsString();
        String source = line.substring(0, start).strip();
        String text = source + " " + name + " " + String.join(" ", fields);
        events.add(new Event(event.get("timestamp").getAsLong(), text.strip()));
      }
    } catch (JsonParseException | IllegalStateException e) {
      unparsableLines++;
    }
  }

  /** Returns one line per event, with the milliseconds since the first event. */
  List<String> format() {
    events.sort(Comparator.comparingLong(Event::millis));
    Optional<Event> first = events.stream().findFirst();
    List<String> formatted = new ArrayList<>();
    for (Event event : events) {
      formatted.add("+" + (event.millis() - first.orElseThrow().millis()) + " ms  " + event.text());
    }
    return formatted;
  }

  /** Returns the number of lines that contain the request id but can't be parsed. */
  int unparsableLines() {
    return unparsableLines;
  }
}

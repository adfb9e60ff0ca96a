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
 * The timeline of one request, from the log lines of all instances in order of time.
 *
 * <p>Not thread-safe. Text before a line's JSON, such as the name of the instance, is kept.
 */
final class RequestTimeline {
  private static final String ID = "id";

  private final String request;
  private final List<Line> lines = new ArrayList<>();
  private int unreadable;

  private RequestTimeline(String request) {
    this.request = request;
  }

  static RequestTimeline of(String request) {
    return new RequestTimeline(request);
  }

  /** A line about the request. */
  private record Line(long millis, String text) {}

  /** Takes in one log line. */
  void add(String line) {
    int start = line.indexOf('{');
    if (start < 0 || !line.contains(request)) {
      return;
    }
    try {
      JsonObject event = JsonParser.parseString(line.substring(start)).getAsJsonObject();
      List<String> fields = new ArrayList<>();
      boolean about = false;
      if (event.has("kvpList")) {
        for (JsonElement pair : event.getAsJsonArray("kvpList")) {
          for (Map.Entry<String, JsonElement> field : pair.getAsJsonObject().entrySet()) {
            String value = field.getValue().getAsString();
            about |= field.getKey().equals(ID) && value.equals(request);
            if (!field.getKey().equals(ID)) {
              fields.add(field.getKey() + "=" + value);
            }
          }
        }
      }
      if (about) {
        String name = event.get("message").getAsString();
        String from = line.substring(0, start).strip();
        String text = from + " " + name + " " + String.join(" ", fields);
        lines.add(new Line(event.get("timestamp").getAsLong(), text.strip()));
      }
    } catch (JsonParseException | IllegalStateException e) {
      unreadable++;
    }
  }

  /** Returns the timeline, one event a line with the milliseconds since the first. */
  List<String> tell() {
    lines.sort(Comparator.comparingLong(Line::millis));
    Optional<Line> first = lines.stream().findFirst();
    List<String> story = new ArrayList<>();
    for (Line line : lines) {
      story.add("+" + (line.millis() - first.orElseThrow().millis()) + " ms  " + line.text());
    }
    return story;
  }

  /** Returns the number of lines that name the request and can't be read. */
  int unreadable() {
    return unreadable;
  }
}

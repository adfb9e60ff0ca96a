package org.kumquatplank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

class RequestTimelineTest {
  private final RequestTimeline timeline = RequestTimeline.of("a1");

  private static String line(long millis, String id, String message, String more) {
    return "{\"timestamp\":"
        + millis
        + ",\"kvpList\": [{\"id\":\""
        + id
        + "\"}"
        + more
        + "],\"message\":\""
        + message
        + "\"}";
  }

  @Example
  void testOrdersTheEventsOfOneRequestAcrossInstances() {
    timeline.add("front-2 " + line(30, "a1", "done", ",{\"outcome\":\"answered\"}"));
    timeline.add(
        "front-1 " + line(10, "a1", "repeat", ",{\"reason\":\"reset\"},{\"sends\":\"1\"}"));
    timeline.add(line(11, "a2", "repeat", ",{\"reason\":\"a1\"}"));
    timeline.add("no JSON at all about a1");
    assertThat(timeline.format())
        .containsExactly(
            "+0 ms  front-1 repeat reason=reset sends=1", "+20 ms  front-2 done outcome=answered");
  }

  @Example
  void testCountsUnparsableLines() {
    timeline.add("{\"timestamp\":1,\"kvpList\":[{\"id\":\"a1\"");
    assertThat(timeline.format()).isEmpty();
    assertThat(timeline.unparsableLines()).isEqualTo(1);
  }
}

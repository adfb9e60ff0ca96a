package org.kumquatplank.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Instant;
import net.jqwik.api.Example;
import org.kumquatplank.http.PooledHttpClient.Reuse;

/** Servers that send bytes without end to the client. */
class EndlessResponseClientTest {
  private static final String OPEN_HEAD = "HTTP/1.1 200 OK\r\n";

  private final PooledHttpClient client = PooledHttpClient.create();

  private CallException exchangeFails(EndlessResponseServer server, long deadlineSeconds) {
    Instant deadline = Instant.now().plusSeconds(deadlineSeconds);
    CallException e =
        catchThrowableOfType(
            CallException.class,
            () -> client.exchange(server.endpoint(), Request.get("/"), deadline, Reuse.FRESH));
    assertThat(e).isNotNull();
    assertThat(e.mayHaveBeenSent()).isTrue();
    return e;
  }

  private void checkCutOff(String start, String repeated) throws IOException {
    try (EndlessResponseServer server = EndlessResponseServer.open(start, repeated, 0)) {
      assertThat(exchangeFails(server, 30).timedOut()).isFalse();
    }
  }

  private void checkTimesOut(String start, String repeated, long pauseMillis) throws IOException {
    try (EndlessResponseServer server = EndlessResponseServer.open(start, repeated, pauseMillis)) {
      assertThat(exchangeFails(server, 1).timedOut()).isTrue();
    }
  }

  @Example
  void testEndlessStatusLineIsCutOff() throws IOException {
    checkCutOff("HTTP/1.1 200 ", "x");
  }

  @Example
  void testEndlessHeaderLineIsCutOff() throws IOException {
    checkCutOff(OPEN_HEAD + "X-Long: ", "x");
  }

  @Example
  void testEndlessHeaderLinesAreCutOff() throws IOException {
    checkCutOff(OPEN_HEAD, "X-Many: x\r\n");
  }

  @Example
  void testEndlessChunkExtensionIsCutOff() throws IOException {
    checkCutOff(OPEN_HEAD + "Transfer-Encoding: chunked\r\n\r\n1;", "x");
  }

  @Example
  void testBodyBeyondTheLimitIsAnError() throws IOException {
    checkCutOff(OPEN_HEAD + "\r\n", "x");
  }

  @Example
  void testEndlessInformationalResponsesEndAtTheDeadline() throws IOException {
    checkTimesOut("", "HTTP/1.1 102 Processing\r\n\r\n", 0);
  }

  @Example
  void testDrippedHeadEndsAtTheDeadline() throws IOException {
    checkTimesOut(OPEN_HEAD + "X-Long: ", "x", 20);
  }

  @Example
  void testDrippedBodyEndsAtTheDeadline() throws IOException {
    checkTimesOut(OPEN_HEAD + "\r\n", "x", 20);
  }

  private ClientResponse stream(EndlessResponseServer server) {
    return client.send(
        server.endpoint(), Request.get("/"), Instant.now().plusSeconds(5), Reuse.FRESH);
  }

  @Example
  void testEndlessLineOfAnEventIsCutOff() throws IOException {
    String event = OPEN_HEAD + "\r\ndata: 1\n\ndata: ";
    try (EndlessResponseServer server = EndlessResponseServer.open(event, "x", 0);
        ClientResponse response = stream(server)) {
      EventReader events = response.events();
      assertThat(events.next(Instant.now().plusSeconds(30))).contains("1");
      assertThatThrownBy(() -> events.next(Instant.now().plusSeconds(30)))
          .isInstanceOf(IOException.class)
          .isNotInstanceOf(SocketTimeoutException.class);
    }
  }

  @Example
  void testCommentsDoNotKeepAStreamWaitingBeyondTheDeadline() throws IOException {
    try (EndlessResponseServer server =
            EndlessResponseServer.open(OPEN_HEAD + "\r\ndata: 1\n\n", ":x\n\n", 20);
        ClientResponse response = stream(server)) {
      EventReader events = response.events();
      assertThat(events.next(Instant.now().plusSeconds(5))).contains("1");
      assertThatThrownBy(() -> events.next(Instant.now().plusSeconds(1)))
          .isInstanceOf(SocketTimeoutException.class);
    }
  }
}

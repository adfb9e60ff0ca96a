package org.kumquatplank.daemon;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.ClientReply;
import org.kumquatplank.http.EventReader;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.Request;

/** One streamed call to one engine. Confined to one thread, but for {@link #cancel}. */
final class EngineCall implements AutoCloseable {
  private static final Gson GSON = new Gson();
  private static final String END = "[DONE]";
  private static final Duration LONGEST_SILENCE = Duration.ofSeconds(10);
  private static final int OK = 200;

  private final String requestId;
  private final String endpoint;
  private final PooledHttpClient client;
  private final ClientReply reply;
  private final EventReader events;
  private boolean finished;

  /**
   * What an engine is asked.
   *
   * @param model the version
   * @param messages the conversation
   * @param max_tokens most tokens to generate
   * @param stream always true
   * @param priority lower goes first
   * @param resume_text text that was generated already, after which to go on
   */
  record Question(
      String model,
      List<ChatMessage> messages,
      long max_tokens,
      boolean stream,
      long priority,
      String resume_text) {}

  /** One part of the engine's stream. */
  private record Chunk(String id, List<Choice> choices) {}

  /** The only choice of a part. */
  private record Choice(Delta delta, String finish_reason) {}

  /** New text. */
  private record Delta(String content) {}

  private EngineCall(
      String requestId, String endpoint, PooledHttpClient client, ClientReply reply, EventReader events) {
    this.requestId = requestId;
    this.endpoint = endpoint;
    this.client = client;
    this.reply = reply;
    this.events = events;
  }

  /**
   * Sends the question.
   *
   * @throws CallException when the engine does not answer
   * @throws RouterException when it refuses or answers another request
   */
  static EngineCall open(
      PooledHttpClient client, String endpoint, String requestId, Question question, Reuse reuse) {
    Request request =
        Request.post("/v1/chat/completions", GSON.toJson(question))
            .withHeader("Request-Id", requestId);
    Instant deadline = Instant.now().plus(LONGEST_SILENCE);
    ClientReply reply = client.send(endpoint, request, deadline, reuse);
    try {
      if (reply.status() != OK) {
        throw RouterException.unknown(
            ErrorCode.BACKEND_FAILED, "the engine answered with status " + reply.status());
      }
      checkEcho(requestId, reply.headers().first("Request-Id").orElse(""));
      return new EngineCall(requestId, endpoint, client, reply, reply.events());
    } catch (IOException | RuntimeException e) {
      reply.close();
      throw e instanceof RuntimeException r ? r : new IllegalStateException(e);
    }
  }

  private static void checkEcho(String expected, String echoed) {
    if (!expected.equals(echoed)) {
      throw RouterException.unknown(
          ErrorCode.ANSWER_MISMATCH, "the engine answered another request");
    }
  }

  /**
   * Returns the next piece of text, or nothing when the answer is whole.
   *
   * @throws IOException when the stream breaks or ends early
   * @throws RouterException when a part belongs to another request
   */
  Optional<String> next() throws IOException {
    Optional<String> data = events.next(Instant.now().plus(LONGEST_SILENCE));
    if (data.isEmpty()) {
      throw new IOException("the stream ended before the answer was whole");
    }
    if (data.get().equals(END)) {
      if (!finished) {
        throw new IOException("the stream ended without a finish reason");
      }
      events.next(Instant.now().plus(LONGEST_SILENCE));
      return Optional.empty();
    }
    return Optional.of(textOf(data.get()));
  }

  private String textOf(String data) throws IOException {
    try {
      Chunk chunk = GSON.fromJson(data, Chunk.class);
      checkEcho(requestId, chunk.id());
      Choice choice = chunk.choices().get(0);
      finished |= choice.finish_reason() != null;
      boolean hasText = choice.delta() != null && choice.delta().content() != null;
      return hasText ? choice.delta().content() : "";
    } catch (JsonParseException | NullPointerException | IndexOutOfBoundsException e) {
      throw new IOException("a part of the stream is malformed", e);
    }
  }

  /** Ends the call at once; the engine stops generating. */
  void cancel() {
    reply.cancel();
  }

  /** Closes the kept connections to the engine too, since they may be as silent as this one. */
  void discardConnections() {
    client.discardIdle(endpoint);
  }

  @Override
  public void close() {
    reply.close();
  }
}

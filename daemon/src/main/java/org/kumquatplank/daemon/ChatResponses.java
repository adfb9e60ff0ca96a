package org.kumquatplank.daemon;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.time.Instant;
import java.util.List;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.ErrorResponses;

/** Formats responses of the chat-completions API. Stateless and thread-safe. */
final class ChatResponses {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final String STOP = "stop";

  private ChatResponses() {}

  /**
   * Token counts of a response.
   *
   * @param prompt_tokens tokens in the prompt
   * @param completion_tokens tokens generated
   * @param total_tokens sum of both
   */
  record Usage(long prompt_tokens, long completion_tokens, long total_tokens) {
    static Usage of(long prompt, long completion) {
      return new Usage(prompt, completion, prompt + completion);
    }
  }

  /** A complete response. */
  private record Completion(
      String id, String object, String model, List<CompletionChoice> choices, Usage usage) {}

  /** The only choice in a complete response. */
  private record CompletionChoice(int index, ChatMessage message, String finish_reason) {}

  /** A chunk of a streamed response. */
  private record Chunk(
      String id, String object, String model, List<ChunkChoice> choices, Usage usage) {}

  /** The only choice in a chunk. */
  private record ChunkChoice(int index, Delta delta, String finish_reason) {}

  /** New text. */
  private record Delta(String content) {}

  /** Notice that the response is delayed. */
  private record DelayNotice(String delayed_until) {}

  static String completion(String id, String version, String text, Usage usage) {
    CompletionChoice choice = new CompletionChoice(0, new ChatMessage("assistant", text), STOP);
    return GSON.toJson(new Completion(id, "chat.completion", version, List.of(choice), usage));
  }

  static String contentChunk(String id, String version, String text) {
    return event(chunk(id, version, new ChunkChoice(0, new Delta(text), null), null));
  }

  /** Returns the last chunk, with the token counts, and the end-of-stream marker. */
  static String finalChunk(String id, String version, Usage usage) {
    String lastChunk = chunk(id, version, new ChunkChoice(0, new Delta(null), STOP), usage);
    return event(lastChunk) + event("[DONE]");
  }

  /** Returns a delay notice as a comment line, which clients that do not support it ignore. */
  static String delayComment(Instant until) {
    return ": " + GSON.toJson(new DelayNotice(until.toString())) + "\n\n";
  }

  static String errorEvent(RouterException e) {
    return event(ErrorResponses.toJson(e));
  }

  private static String chunk(String id, String version, ChunkChoice choice, Usage usage) {
    return GSON.toJson(new Chunk(id, "chat.completion.chunk", version, List.of(choice), usage));
  }

  private static String event(String data) {
    return "data: " + data + "\n\n";
  }
}

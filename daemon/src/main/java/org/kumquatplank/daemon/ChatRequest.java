package org.kumquatplank.daemon;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.List;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;

/**
 * Body of a caller's chat request.
 *
 * @param model name of the work class
 * @param messages the conversation
 * @param stream whether the response is sent as an event stream, or null for false
 * @param max_tokens maximum number of tokens to generate, or null for the default
 */
record ChatRequest(String model, List<ChatMessage> messages, Boolean stream, Long max_tokens) {
  private static final Gson GSON = new Gson();
  private static final long DEFAULT_MAX_TOKENS = 4_096;
  private static final long CHARACTERS_PER_TOKEN = 4;

  /**
   * Parses and validates a request body.
   *
   * @throws RouterException if the body is malformed
   */
  static ChatRequest parse(String body) {
    ChatRequest request;
    try {
      request = GSON.fromJson(body, ChatRequest.class);
    } catch (JsonParseException e) {
      throw malformed("the body is not a JSON chat request");
    }
    if (request == null || request.model() == null || request.model().isEmpty()) {
      throw malformed("the field model is missing");
    }
    boolean hasMessages = request.messages() != null && !request.messages().isEmpty();
    if (!hasMessages || request.messages().stream().anyMatch(ChatRequest::isIncomplete)) {
      throw malformed("the field messages must hold messages with role and content");
    }
    if (request.max_tokens() != null && request.max_tokens() < 1) {
      throw malformed("the field max_tokens must be at least 1");
    }
    return request;
  }

  private static boolean isIncomplete(ChatMessage message) {
    return message == null || message.role() == null || message.content() == null;
  }

  private static RouterException malformed(String message) {
    return RouterException.notRun(ErrorCode.MALFORMED_REQUEST, message);
  }

  boolean streamed() {
    return stream != null && stream;
  }

  long maxTokens() {
    return max_tokens == null ? DEFAULT_MAX_TOKENS : max_tokens;
  }

  /** Returns the estimated number of tokens in the prompt. */
  long promptTokens() {
    long characters = messages.stream().mapToLong(m -> m.content().length()).sum();
    return Math.max(1, Math.ceilDiv(characters, CHARACTERS_PER_TOKEN));
  }
}

package org.kumquatplank.http;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;

/** Error responses in the JSON format of chat completion APIs. Stateless and thread-safe. */
public final class ErrorResponses {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private ErrorResponses() {}

  /** The body of an error response. */
  private record Body(Detail error) {}

  /** The description of an error; {@code ran} tells whether the request was executed. */
  private record Detail(String message, String type, String code, String ran, String retry_at) {}

  /** Returns the response for an error. */
  public static Response of(RouterException e) {
    Headers headers = Headers.none();
    if (e.retryAt().isPresent()) {
      long seconds = Math.max(1, Duration.between(Instant.now(), e.retryAt().get()).toSeconds());
      headers = headers.with("Retry-After", Long.toString(seconds));
    }
    return new Response.Full(e.code().status(), headers, Response.JSON, toJson(e));
  }

  /** Returns the error as JSON. */
  public static String toJson(RouterException e) {
    String type =
        e.code().status() >= FIRST_SERVER_ERROR_STATUS ? "server_error" : "invalid_request_error";
    return GSON.toJson(
        new Body(
            new Detail(
                e.getMessage(),
                type,
                e.code().wireName(),
                e.executionStatus().wireName(),
                e.retryAt().map(Instant::toString).orElse(null))));
  }

  /** Returns the error in a JSON body, or empty when the body describes none. */
  public static Optional<RouterException> parse(String body) {
    try {
      JsonObject root = GSON.fromJson(body, JsonObject.class);
      if (root == null || !root.has("error")) {
        return Optional.empty();
      }
      Detail detail = GSON.fromJson(root.get("error"), Detail.class);
      return Optional.of(toException(detail));
    } catch (JsonParseException | IllegalArgumentException | DateTimeParseException e) {
      return Optional.empty();
    }
  }

  private static RouterException toException(Detail detail) {
    ErrorCode code = ErrorCode.valueOf(detail.code().toUpperCase(java.util.Locale.ROOT));
    ExecutionStatus ran = ExecutionStatus.valueOf(detail.ran().toUpperCase(java.util.Locale.ROOT));
    return detail.retry_at() == null
        ? RouterException.of(code, ran, detail.message(), null)
        : RouterException.retryLater(code, ran, Instant.parse(detail.retry_at()), detail.message());
  }
}

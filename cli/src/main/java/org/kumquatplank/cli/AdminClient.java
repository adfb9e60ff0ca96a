package org.kumquatplank.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.ErrorResponses;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.Request;

/** Sends requests to the administration listener of the first reachable instance. Thread-safe. */
final class AdminClient {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(70);

  private final PooledHttpClient client = PooledHttpClient.create();
  private final List<String> endpoints;
  private final String token;

  AdminClient(List<String> endpoints, String token) {
    this.endpoints = endpoints;
    this.token = token;
  }

  /**
   * Sends a request and returns its successful response.
   *
   * <p>Tries the next instance only when the request was definitely not sent, so that no change is
   * applied twice.
   *
   * @throws CommandException when no instance returns a success
   */
  FullResponse exchange(Request request) {
    Request authorized = request.withHeader("Authorization", "Bearer " + token);
    CallException lastFailure = null;
    for (String endpoint : endpoints) {
      try {
        FullResponse reply =
            client.exchange(endpoint, authorized, Instant.now().plus(REQUEST_TIMEOUT), Reuse.FRESH);
        return requireSuccess(reply);
      } catch (CallException e) {
        lastFailure = e;
        if (e.mayHaveBeenSent()) {
          break;
        }
      }
    }
    throw CommandException.failed(
        lastFailure == null ? "--admin has no address" : lastFailure.getMessage());
  }

  private static FullResponse requireSuccess(FullResponse reply) {
    if (reply.isSuccess()) {
      return reply;
    }
    String message =
        ErrorResponses.parse(reply.body())
            .map((RouterException e) -> e.code().wireName() + ": " + e.getMessage())
            .orElse("HTTP status " + reply.status());
    throw CommandException.failed(message);
  }
}

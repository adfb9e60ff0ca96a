package org.kumquatplank.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.ErrorReplies;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.PooledHttpClient.WholeReply;
import org.kumquatplank.http.Request;

/** Asks the administration listener of the first instance that can be reached. Thread-safe. */
final class AdminClient {
  private static final Duration WAIT = Duration.ofSeconds(70);

  private final PooledHttpClient client = PooledHttpClient.create();
  private final List<String> endpoints;
  private final String token;

  AdminClient(List<String> endpoints, String token) {
    this.endpoints = endpoints;
    this.token = token;
  }

  /**
   * Returns the body of a successful answer.
   *
   * <p>Another instance is asked only where the request was surely not sent.
   */
  WholeReply exchange(Request request) {
    Request signed = request.withHeader("Authorization", "Bearer " + token);
    CallException last = null;
    for (String endpoint : endpoints) {
      try {
        WholeReply reply = client.exchange(endpoint, signed, Instant.now().plus(WAIT), Reuse.FRESH);
        return checked(reply);
      } catch (CallException e) {
        last = e;
        if (e.mayHaveBeenSent()) {
          break;
        }
      }
    }
    throw CommandException.failed(last == null ? "no address is given" : last.getMessage());
  }

  private static WholeReply checked(WholeReply reply) {
    if (reply.isSuccess()) {
      return reply;
    }
    String message =
        ErrorReplies.parse(reply.body())
            .map((RouterException e) -> e.code().wireName() + ": " + e.getMessage())
            .orElse("status " + reply.status());
    throw CommandException.failed(message);
  }
}

package org.kumquatplank.http;

/** Handles requests. Implementations are thread-safe. */
@FunctionalInterface
public interface Handler {
  /** Returns the response to a request. */
  Response handle(Request request);
}

package org.kumquatplank.http;

import java.io.IOException;

/** A response of a server. */
public sealed interface Response {
  /** Media type of JSON. */
  String JSON = "application/json";

  /** Returns the HTTP status. */
  int status();

  /** Returns the header fields, without those that the server adds. */
  Headers headers();

  /** Returns the media type of the body. */
  String contentType();

  /**
   * A response whose body is known in advance.
   *
   * @param body the body
   */
  record Full(int status, Headers headers, String contentType, String body) implements Response {}

  /**
   * A response whose body is generated while it is sent.
   *
   * @param body writes the body
   */
  record Streamed(int status, Headers headers, String contentType, StreamBody body)
      implements Response {}

  /** Generates the body of a streamed response. */
  @FunctionalInterface
  interface StreamBody {
    /** Writes the body; each write to the sink is sent immediately. */
    void writeTo(StreamSink sink) throws IOException;
  }

  /** Receives the chunks of a streamed body. */
  @FunctionalInterface
  interface StreamSink {
    /** Sends a chunk immediately. */
    void write(String text) throws IOException;
  }

  /** Returns a JSON response. */
  static Response json(int status, String body) {
    return new Full(status, Headers.none(), JSON, body);
  }
}

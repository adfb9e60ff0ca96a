package org.kumquatplank.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;

/**
 * A response whose body is read as it arrives.
 *
 * <p>Closing it before the end of the body closes the connection, which cancels the request;
 * otherwise the connection returns to the pool. Confined to one thread, except for {@link #cancel}.
 */
public final class ClientResponse implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 64 << 20;

  private final PooledHttpClient client;
  private final String endpoint;
  private final ClientConnection connection;
  private final ClassicHttpResponse response;
  private boolean bodyComplete;

  ClientResponse(
      PooledHttpClient client,
      String endpoint,
      ClientConnection connection,
      ClassicHttpResponse response) {
    this.client = client;
    this.endpoint = endpoint;
    this.connection = connection;
    this.response = response;
  }

  /** Returns the HTTP status. */
  public int status() {
    return response.getCode();
  }

  /** Returns the header fields. */
  public Headers headers() {
    List<Headers.Field> fields = new ArrayList<>();
    for (Header header : response.getHeaders()) {
      fields.add(new Headers.Field(header.getName(), header.getValue()));
    }
    return new Headers(fields);
  }

  /**
   * Returns the body as text.
   *
   * @throws CallException when the body does not end by the deadline or is too large
   */
  public String readBody(Instant deadline) {
    if (response.getEntity() == null) {
      bodyComplete = true;
      return "";
    }
    try {
      connection.setDeadline(deadline);
      InputStream in = response.getEntity().getContent();
      byte[] bytes = in.readNBytes(MAX_BODY_BYTES);
      bodyComplete = in.read() < 0;
      if (!bodyComplete) {
        throw new IOException("the body is too large");
      }
      return new String(bytes, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw CallException.maybeSent(endpoint, e);
    }
  }

  /** Returns a reader of the events of an event stream. */
  public EventReader events() throws IOException {
    return new EventReader(
        response.getEntity().getContent(), connection::setDeadline, () -> bodyComplete = true);
  }

  /** Closes the connection immediately; a blocked read fails. */
  public void cancel() {
    connection.close();
  }

  @Override
  public void close() {
    if (bodyComplete && connection.isOpen()) {
      client.returnToPool(endpoint, connection);
    } else {
      connection.close();
    }
  }
}

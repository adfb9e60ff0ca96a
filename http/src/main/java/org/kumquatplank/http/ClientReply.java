package org.kumquatplank.http;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.io.CloseMode;

/**
 * An answer whose body is read as it comes.
 *
 * <p>Closing before the end of the body ends the connection, which cancels the call. Confined to
 * one thread, but for {@link #cancel}.
 */
public final class ClientReply implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 64 << 20;

  private final PooledHttpClient client;
  private final String endpoint;
  private final HttpClientConnection connection;
  private final ClassicHttpResponse response;
  private boolean whole;

  ClientReply(
      PooledHttpClient client,
      String endpoint,
      HttpClientConnection connection,
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
   * @throws CallException when the body does not end by the deadline
   */
  public String readBody(Instant deadline) {
    if (response.getEntity() == null) {
      whole = true;
      return "";
    }
    try {
      connection.setSocketTimeout(PooledHttpClient.timeoutUntil(deadline));
      InputStream in = response.getEntity().getContent();
      byte[] bytes = in.readNBytes(MAX_BODY_BYTES);
      whole = in.read() < 0;
      return new String(bytes, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw CallException.maybeSent(endpoint, e);
    }
  }

  /** Returns the events of an event stream. */
  public EventReader events() throws IOException {
    return new EventReader(
        response.getEntity().getContent(),
        deadline -> connection.setSocketTimeout(PooledHttpClient.timeoutUntil(deadline)),
        () -> whole = true);
  }

  /** Ends the connection at once; a blocked reader fails. */
  public void cancel() {
    connection.close(CloseMode.IMMEDIATE);
  }

  @Override
  public void close() {
    if (whole && connection.isOpen()) {
      client.keep(endpoint, connection);
    } else {
      connection.close(CloseMode.IMMEDIATE);
    }
  }
}

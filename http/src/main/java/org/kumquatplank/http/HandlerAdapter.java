package org.kumquatplank.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;

/** Adapts a {@link Handler} to the request handler interface of the HTTP library. */
final class HandlerAdapter implements HttpServerRequestHandler {
  private static final int UNKNOWN_LENGTH = -1;
  private static final int READ_BYTES = 8_192;

  private final Handler handler;
  private final ServerLimits limits;
  private final BooleanSupplier keepAlive;
  private final BodyBudget budget;

  HandlerAdapter(
      Handler handler, ServerLimits limits, BodyBudget budget, BooleanSupplier keepAlive) {
    this.handler = handler;
    this.limits = limits;
    this.keepAlive = keepAlive;
    this.budget = budget;
  }

  @Override
  public void handle(ClassicHttpRequest message, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    var connection =
        (HttpListener.ServerConnection)
            context.getAttribute(HttpListener.ServerConnection.ATTRIBUTE);
    connection.requestStarted();
    try (BodyBudget.Body body = budget.open(connection::close)) {
      respond(replyTo(message, body), trigger, connection);
    }
  }

  private void respond(
      Response reply, ResponseTrigger trigger, HttpListener.ServerConnection connection)
      throws HttpException, IOException {
    ClassicHttpResponse response = new BasicClassicHttpResponse(reply.status());
    for (Headers.Field field : reply.headers().fields()) {
      response.addHeader(field.name(), field.value());
    }
    if (!keepAlive.getAsBoolean()) {
      response.addHeader("Connection", "close");
    }
    response.setEntity(toEntity(reply, connection));
    connection.beforeWrite();
    trigger.submitResponse(response);
    connection.afterWrite();
  }

  private Response replyTo(ClassicHttpRequest message, BodyBudget.Body body) throws IOException {
    try {
      return handler.handle(toRequest(message, body));
    } catch (RouterException e) {
      return ErrorResponses.of(e);
    } catch (RuntimeException e) {
      return ErrorResponses.of(
          RouterException.unknown(
              ErrorCode.INTERNAL, "unexpected " + e.getClass().getSimpleName()));
    }
  }

  private Request toRequest(ClassicHttpRequest message, BodyBudget.Body body) throws IOException {
    List<Headers.Field> fields = new ArrayList<>();
    for (Header header : message.getHeaders()) {
      fields.add(new Headers.Field(header.getName(), header.getValue()));
    }
    Request head = Request.of(message.getMethod(), message.getRequestUri(), "");
    return new Request(
        head.method(),
        head.path(),
        head.query(),
        new Headers(fields),
        readBody(message.getEntity(), body));
  }

  private String readBody(HttpEntity entity, BodyBudget.Body body) throws IOException {
    if (entity == null) {
      return "";
    }
    try (InputStream in = entity.getContent()) {
      ByteArrayOutputStream read = new ByteArrayOutputStream();
      byte[] chunk = new byte[READ_BYTES];
      for (int count = in.read(chunk); count >= 0; count = in.read(chunk)) {
        if (read.size() + count > limits.maxBodyBytes()) {
          throw RouterException.notRun(
              ErrorCode.BODY_TOO_LARGE, "the body exceeds " + limits.maxBodyBytes() + " bytes");
        }
        body.add(count);
        read.write(chunk, 0, count);
      }
      body.complete();
      return read.toString(StandardCharsets.UTF_8);
    }
  }

  private static HttpEntity toEntity(Response reply, HttpListener.ServerConnection connection) {
    ContentType type = ContentType.parse(reply.contentType()).withCharset(StandardCharsets.UTF_8);
    return switch (reply) {
      case Response.Full whole -> new StringEntity(whole.body(), type);
      case Response.Streamed streamed ->
          new EntityTemplate(
              UNKNOWN_LENGTH, type, null, out -> writeStream(streamed.body(), out, connection));
    };
  }

  private static void writeStream(
      Response.StreamBody body, OutputStream out, HttpListener.ServerConnection connection)
      throws IOException {
    connection.afterWrite();
    try {
      body.writeTo(text -> writeAndFlush(text, out, connection));
    } catch (IOException | RuntimeException e) {
      // Ending the body normally would make a truncated response look complete.
      connection.close();
      throw e;
    }
  }

  private static void writeAndFlush(
      String text, OutputStream out, HttpListener.ServerConnection connection) throws IOException {
    connection.beforeWrite();
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
    connection.afterWrite();
  }
}

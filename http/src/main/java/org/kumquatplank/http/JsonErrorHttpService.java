package org.kumquatplank.http;

import java.nio.charset.StandardCharsets;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;

/** Responds to requests that the HTTP library can't parse with the JSON of all other errors. */
final class JsonErrorHttpService extends HttpService {
  JsonErrorHttpService(HttpProcessor processor, HttpServerRequestHandler handler) {
    super(processor, handler);
  }

  @Override
  protected void handleException(HttpException e, ClassicHttpResponse response) {
    ErrorCode code =
        toStatusCode(e) == ErrorCode.HEADER_TOO_LARGE.status()
            ? ErrorCode.HEADER_TOO_LARGE
            : ErrorCode.MALFORMED_REQUEST;
    RouterException error = RouterException.notRun(code, "the request's head can't be read");
    response.setCode(code.status());
    response.setEntity(
        new ByteArrayEntity(
            ErrorResponses.toJson(error).getBytes(StandardCharsets.UTF_8),
            ContentType.APPLICATION_JSON));
  }
}

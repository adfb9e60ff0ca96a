package org.kumquatplank.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * An HTTP request, received or to be sent.
 *
 * @param method HTTP method
 * @param path path without the query
 * @param query query without the question mark, empty if absent
 * @param headers header fields
 * @param body the body as text, empty if absent
 */
public record Request(String method, String path, String query, Headers headers, String body) {
  /** Returns a GET request without body. */
  public static Request get(String pathAndQuery) {
    return of("GET", pathAndQuery, "");
  }

  /** Returns a POST request with a JSON body. */
  public static Request post(String pathAndQuery, String body) {
    return of("POST", pathAndQuery, body);
  }

  /** Returns a request without header fields. */
  public static Request of(String method, String pathAndQuery, String body) {
    int delimiter = pathAndQuery.indexOf('?');
    String path = delimiter < 0 ? pathAndQuery : pathAndQuery.substring(0, delimiter);
    String query = delimiter < 0 ? "" : pathAndQuery.substring(delimiter + 1);
    return new Request(method, path, query, Headers.none(), body);
  }

  /** Returns a copy of this request with an additional header field. */
  public Request withHeader(String name, String value) {
    return new Request(method, path, query, headers.with(name, value), body);
  }

  /** Returns the request target: path and query. */
  public String target() {
    return query.isEmpty() ? path : path + "?" + query;
  }

  /** Returns the decoded value of a query parameter, or empty if absent. */
  public Optional<String> parameter(String name) {
    for (String pair : query.split("&", -1)) {
      int delimiter = pair.indexOf('=');
      if (delimiter > 0 && pair.substring(0, delimiter).equals(name)) {
        return Optional.of(
            URLDecoder.decode(pair.substring(delimiter + 1), StandardCharsets.UTF_8));
      }
    }
    return Optional.empty();
  }
}

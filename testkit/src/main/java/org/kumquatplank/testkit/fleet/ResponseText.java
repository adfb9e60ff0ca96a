package org.kumquatplank.testkit.fleet;

import java.util.Locale;

/**
 * Text of the responses of a stand-in for a backend server to one request.
 *
 * @param serverId id of the backend server
 * @param attemptId id of the attempt that it responds to
 */
record ResponseText(String serverId, String attemptId) {
  /** Returns the headers that name the attempt and prove who responds. */
  String identity() {
    return "X-Attempt-Id: " + attemptId + "\r\nX-Response-Seal: seal-of-" + serverId + "\r\n";
  }

  /**
   * Returns a complete response.
   *
   * @param headers more header lines, each with its end
   */
  String full(int status, String headers, String body) {
    return "HTTP/1.1 "
        + String.format(Locale.ROOT, "%03d", status)
        + " S\r\n"
        + identity()
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Returns a refusal as misdirected, with or without the id of the server. */
  String misdirected(boolean namesServer) {
    return "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Attempt-Id: "
        + attemptId
        + "\r\n"
        + (namesServer ? "X-Replica-Id: " + serverId + "\r\n" : "")
        + "Content-Length: 0\r\n\r\n";
  }
}

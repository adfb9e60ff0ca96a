package org.kumquatplank.core.claims;

/** The outcome of a claimed call. */
public sealed interface Outcome {
  /**
   * The backend server returned a response.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body response body
   */
  record Answered(int status, String contentType, String body) implements Outcome {}

  /**
   * The call was sent, but its response was lost.
   *
   * @param reason description of the failure
   */
  record Lost(String reason) implements Outcome {}

  /**
   * The call was not sent and will not be sent under this claim, so the key is free again.
   *
   * @param reason why it was not sent
   */
  record NotSent(String reason) implements Outcome {}
}

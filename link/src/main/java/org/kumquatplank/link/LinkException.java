package org.kumquatplank.link;

/** Thrown when a request to a peer can't be sent or the connection closes before its reply. */
public final class LinkException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  LinkException(String message) {
    super(message);
  }
}

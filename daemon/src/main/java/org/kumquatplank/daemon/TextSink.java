package org.kumquatplank.daemon;

import java.io.IOException;

/** Receives the text of a response while it is generated. */
interface TextSink {
  /** Sets the version that starts or resumes the response. */
  void setVersion(String version) throws IOException;

  /** Appends one token of text. */
  void append(String text) throws IOException;
}

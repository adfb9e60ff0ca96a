package org.kumquatplank.core.config.internal;

import org.kumquatplank.core.config.Finding;

/** Thrown when a text is not valid JSON; the text after the error cannot be parsed. */
public final class SyntaxFault extends RuntimeException {
  private static final long serialVersionUID = 1L;
  private final transient Finding finding;

  SyntaxFault(Finding finding) {
    super(finding.toString());
    this.finding = finding;
  }

  /** Returns the syntax error with its location. */
  public Finding finding() {
    return finding;
  }
}

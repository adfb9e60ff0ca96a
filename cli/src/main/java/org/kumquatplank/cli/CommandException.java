package org.kumquatplank.cli;

/** Thrown to end a command with a message on standard error and an exit status. */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;

  private CommandException(int status, String message) {
    super(message);
    this.status = status;
  }

  static CommandException usage(String message) {
    return new CommandException(ExitStatus.USAGE, message);
  }

  static CommandException failed(String message) {
    return new CommandException(ExitStatus.FAILED, message);
  }

  int status() {
    return status;
  }
}

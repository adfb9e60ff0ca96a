package org.kumquatplank.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * A socket whose reads fail after a deadline, also while bytes keep arriving.
 *
 * <p>The timeout of a plain socket applies to each read, so a server that sends without end never
 * exceeds it. Reads are confined to one thread.
 */
final class DeadlineSocket extends Socket {
  private Optional<Instant> deadline = Optional.empty();

  /** Sets the time after which reads fail. */
  void setDeadline(Instant newDeadline) {
    deadline = Optional.of(newDeadline);
  }

  void clearDeadline() {
    deadline = Optional.empty();
  }

  @Override
  public InputStream getInputStream() throws IOException {
    return new DeadlineInputStream(super.getInputStream());
  }

  private void limitNextRead() throws IOException {
    if (deadline.isPresent()) {
      long millis = Duration.between(Instant.now(), deadline.get()).toMillis();
      if (millis <= 0) {
        throw new SocketTimeoutException("the deadline has passed");
      }
      setSoTimeout((int) Math.min(Integer.MAX_VALUE, millis));
    }
  }

  /** Checks the deadline before each read. */
  private final class DeadlineInputStream extends FilterInputStream {
    DeadlineInputStream(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      limitNextRead();
      return super.read();
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      limitNextRead();
      return super.read(bytes, offset, length);
    }
  }
}

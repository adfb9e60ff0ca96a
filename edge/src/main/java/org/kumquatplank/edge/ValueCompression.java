package org.kumquatplank.edge;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses values between instances, so that a whole configuration fits into a datagram. */
final class ValueCompression {
  /** No record of the store is larger, bytes. */
  private static final int MOST_BYTES = 1 << 20;

  private ValueCompression() {}

  static ByteString pack(byte[] value) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    ByteString.Output packed = ByteString.newOutput();
    try (DeflaterOutputStream out = new DeflaterOutputStream(packed, deflater)) {
      out.write(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      deflater.end();
    }
    return packed.toByteString();
  }

  /**
   * Returns the value.
   *
   * @throws UncheckedIOException when the bytes can't be read or are too many
   */
  static byte[] unpack(ByteString packed) {
    ByteArrayOutputStream value = new ByteArrayOutputStream();
    try (InputStream in = new InflaterInputStream(packed.newInput())) {
      value.write(in.readNBytes(MOST_BYTES));
      if (in.read() >= 0) {
        throw new IOException("a packed value is too large");
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return value.toByteArray();
  }
}

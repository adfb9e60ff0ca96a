package org.kumquatplank.edge;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/** Compresses values sent between instances, so that a full configuration fits into a datagram. */
final class ValueCompression {
  /** Size limit of a value, bytes; the store holds no larger records. */
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private ValueCompression() {}

  static ByteString compress(byte[] value) {
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
   * Decompresses a value.
   *
   * @throws UncheckedIOException if the bytes are malformed or the value exceeds the size limit
   */
  static byte[] decompress(ByteString packed) {
    ByteArrayOutputStream value = new ByteArrayOutputStream();
    try (InputStream in = new InflaterInputStream(packed.newInput())) {
      value.write(in.readNBytes(MAX_VALUE_BYTES));
      if (in.read() >= 0) {
        throw new IOException("decompressed value is larger than 1 MiB");
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return value.toByteArray();
  }
}

package org.kumquatplank.edge;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.kumquatplank.core.relay.ChangeBuffer;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.core.relay.TopicUpdate;
import org.kumquatplank.link.proto.RelayedRecord;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.store.StoreRecord;

/**
 * Encodes and decodes the updates on one topic that the reader of a region sends to its peers.
 *
 * <p>Confined to the control thread.
 */
final class TopicUpdates {
  /** How long changes are repeated; a third datagram makes up for two lost in a row. */
  private static final long REPEAT_MICROS = 2_500_000;

  private static final long MICROS_PER_MILLI = 1_000;

  private final String self;
  private final String topic;
  private final ChangeBuffer<StoreRecord> buffer =
      ChangeBuffer.create(REPEAT_MICROS, StoreRecord::key);

  TopicUpdates(String self, String topic) {
    this.self = self;
    this.topic = topic;
  }

  /**
   * Returns the message to send after a read.
   *
   * @param graceUntil end of the grace period for entries that expired in an outage, microseconds
   * @param maxBytes size limit; the oldest changes are left out, and peers read them from the store
   */
  TopicRelay messageAfterRead(
      TopicUpdate<StoreRecord> update, long graceUntil, int maxBytes, long now) {
    buffer.add(update, now);
    TopicRelay message = message(graceUntil, now);
    while (message.getSerializedSize() > maxBytes && message.getRecordsCount() > 0) {
      buffer.dropOldest();
      message = message(graceUntil, now);
    }
    return message;
  }

  private TopicRelay message(long graceUntil, long now) {
    TopicUpdate<StoreRecord> span = buffer.bufferedSpan().orElseThrow();
    TopicRelay.Builder message =
        TopicRelay.newBuilder()
            .setSender(self)
            .setTopic(topic)
            .setEra(span.next().era())
            .setFrom(span.from().offset())
            .setNext(span.next().offset())
            .setGraceMillis(graceUntil <= now ? 0 : (graceUntil - now) / MICROS_PER_MILLI);
    for (StoreRecord record : span.changes()) {
      message.addRecords(
          RelayedRecord.newBuilder()
              .setOffset(record.position().offset())
              .setKey(record.key())
              .setValue(record.value().map(ValueCompression::compress).orElse(ByteString.EMPTY)));
    }
    return message.build();
  }

  /** Decodes a message of a peer and passes it to the follower of the topic. */
  static void deliverTo(
      TopicRelay message, long now, StoreFollower follower, Consumer<Long> graceListener) {
    if (message.getGraceMillis() > 0) {
      graceListener.accept(now + message.getGraceMillis() * MICROS_PER_MILLI);
    }
    List<StoreRecord> records =
        message.getRecordsList().stream()
            .filter(r -> !follower.hasApplied(position(message, r)))
            .map(r -> new StoreRecord(position(message, r), r.getKey(), value(r)))
            .toList();
    TopicUpdate<StoreRecord> update =
        TopicUpdate.of(message.getEra(), message.getFrom(), message.getNext(), records);
    follower.onUpdate(message.getSender(), update, now);
  }

  private static LogPosition position(TopicRelay message, RelayedRecord record) {
    return LogPosition.of(message.getEra(), record.getOffset());
  }

  private static Optional<byte[]> value(RelayedRecord record) {
    return record.getValue().isEmpty()
        ? Optional.empty()
        : Optional.of(ValueCompression.decompress(record.getValue()));
  }
}

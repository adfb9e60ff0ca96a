package org.kumquatplank.edge;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.kumquatplank.core.relay.ChangeBuffer;
import org.kumquatplank.link.proto.RelayedRecord;
import org.kumquatplank.link.proto.TopicRelay;
import org.kumquatplank.platform.store.StoreRecord;

/**
 * What this instance tells the others of its region about one topic after each read.
 *
 * <p>Confined to the control thread.
 */
final class TopicUpdates {
  /** Two lost datagrams in a row are made good by the third. */
  private static final long KEPT_MICROS = 2_500_000;

  private static final long MICROS_PER_MILLI = 1_000;

  private final String self;
  private final String topic;
  private final ChangeBuffer<StoreRecord> buffer = ChangeBuffer.create(KEPT_MICROS, StoreRecord::key);

  TopicUpdates(String self, String topic) {
    this.self = self;
    this.topic = topic;
  }

  /**
   * Returns the message after a read.
   *
   * @param graceUntil until when entries that lapsed during an outage count, microseconds
   * @param mostBytes size of the message; what does not fit is read by the others themselves
   */
  TopicRelay after(StoreFollower.Told told, long graceUntil, int mostBytes, long now) {
    buffer.add(told.from(), told.next(), told.changed(), now);
    TopicRelay message = message(graceUntil, now);
    while (message.getSerializedSize() > mostBytes && message.getRecordsCount() > 0) {
      buffer.dropOldest();
      message = message(graceUntil, now);
    }
    return message;
  }

  private TopicRelay message(long graceUntil, long now) {
    ChangeBuffer.Span<StoreRecord> span = buffer.span().orElseThrow();
    TopicRelay.Builder message =
        TopicRelay.newBuilder()
            .setSender(self)
            .setTopic(topic)
            .setFrom(span.from())
            .setNext(span.next())
            .setGraceMillis(graceUntil <= now ? 0 : (graceUntil - now) / MICROS_PER_MILLI);
    for (StoreRecord record : span.changes()) {
      message.addRecords(
          RelayedRecord.newBuilder()
              .setOffset(record.offset())
              .setKey(record.key())
              .setValue(record.value().map(ValueCompression::pack).orElse(ByteString.EMPTY)));
    }
    return message.build();
  }

  /** Passes on what another instance tells. */
  static void deliver(TopicRelay message, long now, StoreFollower to, Consumer<Long> grace) {
    if (message.getGraceMillis() > 0) {
      grace.accept(now + message.getGraceMillis() * MICROS_PER_MILLI);
    }
    List<StoreRecord> records =
        message.getRecordsList().stream()
            .map(r -> new StoreRecord(r.getOffset(), r.getKey(), value(r)))
            .toList();
    StoreFollower.Told told = new StoreFollower.Told(message.getFrom(), message.getNext(), records);
    to.onTold(message.getSender(), told, now);
  }

  private static Optional<byte[]> value(RelayedRecord record) {
    return record.getValue().isEmpty()
        ? Optional.empty()
        : Optional.of(ValueCompression.unpack(record.getValue()));
  }
}

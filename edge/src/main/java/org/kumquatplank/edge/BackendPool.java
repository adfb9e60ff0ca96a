package org.kumquatplank.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import jdk.net.ExtendedSocketOptions;
import org.kumquatplank.core.dispatch.BackendState;

/**
 * Kept connections to backend servers.
 *
 * <p>Confined to the traffic thread.
 */
final class BackendPool {
  /** A round trip between regions is 60 ms: a connection that takes longer is not worth it. */
  private static final int CONNECT_MILLIS = 400;

  /** Kept connections rest this long at most: one that rests longer may have gone silent. */
  private static final long MOST_IDLE_MICROS = 4_000_000;

  /** Time before the backend server's own limit at which a connection is no longer used. */
  private static final long IDLE_MARGIN_MICROS = 400_000;

  /** A connection that rested for less was working a moment ago. */
  private static final long TRUSTED_IDLE_MICROS = 1_000_000;

  private static final int KEEP_ALIVE_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private final EventLoop loop;
  private final Map<Key, Deque<Resting>> idle = new HashMap<>();
  private final Map<Key, BackendState> states = new HashMap<>();

  BackendPool(EventLoop loop) {
    this.loop = loop;
  }

  /** A process at an address. */
  record Key(String id, long startedMillis, String host, int port) {
    static Key of(BackendState state) {
      return new Key(
          state.server().id(),
          state.server().startedMillis(),
          state.server().host(),
          state.server().port());
    }
  }

  /** A kept connection and when it was last used. */
  private record Resting(BackendConnection connection, long usedAt) {}

  /**
   * Finds a connection for a call, or opens one.
   *
   * @param once whether the request can't be repeated, so that only a sure connection will do
   */
  void acquire(BackendState state, boolean once, BackendCall call) {
    Key key = Key.of(state);
    long now = Clock.micros();
    Deque<Resting> resting = idle.get(key);
    while (resting != null && !resting.isEmpty()) {
      Resting last = resting.pollLast();
      boolean trusted = !once || now - last.usedAt() < TRUSTED_IDLE_MICROS;
      boolean usable = last.connection().channel().isActive();
      if (usable && trusted && now < last.connection().idleDeadline()) {
        call.connected(last.connection());
        return;
      }
      last.connection().channel().close();
    }
    open(key, state, call);
  }

  private void open(Key key, BackendState state, BackendCall call) {
    BackendConnection connection = new BackendConnection(this, key);
    states.put(key, state);
    state.connectionOpened();
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                connection.setChannel(channel);
                connection.addTo(channel.pipeline());
              }
            })
        .connect(new InetSocketAddress(key.host(), key.port()))
        .addListener(
            future -> {
              if (future.isSuccess()) {
                connectedTo(connection, call);
              } else {
                state.connectionClosed();
                call.notConnected(String.valueOf(future.cause().getMessage()));
              }
            });
  }

  private void connectedTo(BackendConnection connection, BackendCall call) {
    if (call.isOver()) {
      release(connection, OptionalLong.empty());
    } else {
      call.connected(connection);
    }
  }

  void release(BackendConnection connection, OptionalLong keepMillis) {
    long now = Clock.micros();
    long rest = keepMillis.isPresent() ? keepMillis.getAsLong() * 1_000 : MOST_IDLE_MICROS;
    long usable = Math.min(MOST_IDLE_MICROS, rest - IDLE_MARGIN_MICROS);
    if (usable <= 0) {
      connection.channel().close();
      return;
    }
    connection.setIdleDeadline(now + usable);
    idle.computeIfAbsent(connection.key(), k -> new ArrayDeque<>())
        .addLast(new Resting(connection, now));
  }

  void closed(BackendConnection connection) {
    BackendState state = states.get(connection.key());
    if (state != null) {
      state.connectionClosed();
    }
    Deque<Resting> resting = idle.get(connection.key());
    if (resting != null) {
      resting.removeIf(r -> r.connection() == connection);
    }
  }

  /** Closes connections that rested too long, and those to processes that left. */
  void sweep(long now) {
    List<Resting> expired = new ArrayList<>();
    for (Map.Entry<Key, Deque<Resting>> entry : idle.entrySet()) {
      BackendState state = states.get(entry.getKey());
      boolean left = state == null || state.isClosed();
      for (Resting resting : entry.getValue()) {
        if (left || now >= resting.connection().idleDeadline()) {
          expired.add(resting);
        }
      }
    }
    // Closing takes them out of the map.
    expired.forEach(r -> r.connection().channel().close());
    idle.values().removeIf(Deque::isEmpty);
    states.values().removeIf(s -> s.isClosed() && s.connections() == 0);
  }

  /** Closes all resting connections to a process on which one went silent. */
  void distrust(BackendState state) {
    Deque<Resting> resting = idle.get(Key.of(state));
    if (resting != null) {
      List.copyOf(resting).forEach(r -> r.connection().channel().close());
    }
  }
}

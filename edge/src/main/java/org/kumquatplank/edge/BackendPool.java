package org.kumquatplank.edge;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;
import org.kumquatplank.core.dispatch.BackendState;

/**
 * Connection pool for the backend servers.
 *
 * <p>Confined to the traffic thread.
 */
final class BackendPool {
  /** A slower connect is abandoned; a round trip between regions takes 60 ms. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Idle connections are closed after this time, as an older one may be dead without notice. */
  private static final long MAX_IDLE_MICROS = 4_000_000;

  /** Margin before the backend server's own keep-alive limit, so that it does not close first. */
  private static final long IDLE_MARGIN_MICROS = 400_000;

  /** A connection that was idle for less than this is assumed to work. */
  private static final long RECENT_USE_MICROS = 1_000_000;

  private static final int KEEP_ALIVE_SECONDS = 1;
  private static final int KEEP_ALIVE_PROBES = 2;

  private final EventLoop loop;
  private final SendGate gate;
  private final Map<Key, Deque<IdleConnection>> idle = new HashMap<>();
  private final Map<Key, BackendState> states = new HashMap<>();

  BackendPool(EventLoop loop, SendGate gate) {
    this.loop = loop;
    this.gate = gate;
  }

  /** Identifies one process of a backend server at one address. */
  record Key(String id, long startedMillis, String host, int port) {
    static Key of(BackendState state) {
      return new Key(
          state.server().id(),
          state.server().startedMillis(),
          state.server().host(),
          state.server().port());
    }
  }

  /** An idle connection and the time since which it is idle, microseconds. */
  private record IdleConnection(BackendConnection connection, long idleSince) {}

  /**
   * Provides an idle connection to a call, or opens a new one.
   *
   * @param nonRepeatable whether the request must not be sent twice, so that only a new connection
   *     or a recently used one will do
   */
  void acquire(BackendState state, boolean nonRepeatable, BackendCall call) {
    Key key = Key.of(state);
    long now = Clock.micros();
    Deque<IdleConnection> idleConnections = idle.get(key);
    while (idleConnections != null && !idleConnections.isEmpty()) {
      IdleConnection candidate = idleConnections.pollLast();
      boolean recentEnough = !nonRepeatable || now - candidate.idleSince() < RECENT_USE_MICROS;
      boolean usable = candidate.connection().channel().isActive();
      if (usable && recentEnough && now < candidate.connection().idleDeadline()) {
        if (!call.onConnected(candidate.connection())) {
          idleConnections.addLast(candidate);
        }
        return;
      }
      candidate.connection().channel().close();
    }
    open(
        state,
        c -> gate.run(Clock.micros(), () -> onConnected(c, call)),
        cause -> call.onConnectFailed(String.valueOf(cause.getMessage())));
  }

  /**
   * Finds out whether a backend server still accepts connections; one that was opened for it is
   * kept for the next request.
   */
  void probe(BackendState state, Consumer<ProbeResult> onResult) {
    open(
        state,
        connection -> {
          release(connection, OptionalLong.empty());
          onResult.accept(ProbeResult.ACCEPTED);
        },
        cause -> {
          boolean refused =
              cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
          onResult.accept(refused ? ProbeResult.REFUSED : ProbeResult.NO_RESPONSE);
        });
  }

  /** Result of a probe. */
  enum ProbeResult {
    ACCEPTED,
    /** Nothing listens on the address, so the process has ended. */
    REFUSED,
    NO_RESPONSE
  }

  private void open(
      BackendState state, Consumer<BackendConnection> onOpen, Consumer<Throwable> onFailure) {
    Key key = Key.of(state);
    BackendConnection connection = new BackendConnection(this, key);
    states.put(key, state);
    state.connectionOpened();
    long openedAt = Clock.micros();
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
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
                state.recordConnectTime(Clock.micros() - openedAt);
                onOpen.accept(connection);
              } else {
                state.connectionClosed();
                onFailure.accept(future.cause());
              }
            });
  }

  private void onConnected(BackendConnection connection, BackendCall call) {
    if (!connection.channel().isActive()) {
      call.onConnectFailed("closed before the request was sent");
    } else if (!call.onConnected(connection)) {
      release(connection, OptionalLong.empty());
    }
  }

  void release(BackendConnection connection, OptionalLong keepAliveMillis) {
    long now = Clock.micros();
    long idleLimit =
        keepAliveMillis.isPresent() ? keepAliveMillis.getAsLong() * 1_000 : MAX_IDLE_MICROS;
    long usableMicros = Math.min(MAX_IDLE_MICROS, idleLimit - IDLE_MARGIN_MICROS);
    if (usableMicros <= 0) {
      connection.channel().close();
      return;
    }
    connection.setIdleDeadline(now + usableMicros);
    idle.computeIfAbsent(connection.key(), k -> new ArrayDeque<>())
        .addLast(new IdleConnection(connection, now));
  }

  void onClosed(BackendConnection connection) {
    BackendState state = states.get(connection.key());
    if (state != null) {
      state.connectionClosed();
    }
    Deque<IdleConnection> idleConnections = idle.get(connection.key());
    if (idleConnections != null) {
      idleConnections.removeIf(r -> r.connection() == connection);
    }
  }

  /** Closes connections that were idle for too long, and those to removed processes. */
  void sweep(long now) {
    List<IdleConnection> expired = new ArrayList<>();
    for (Map.Entry<Key, Deque<IdleConnection>> entry : idle.entrySet()) {
      BackendState state = states.get(entry.getKey());
      boolean removed = state == null || state.isClosed();
      for (IdleConnection candidate : entry.getValue()) {
        if (removed || now >= candidate.connection().idleDeadline()) {
          expired.add(candidate);
        }
      }
    }
    // Closing removes them from the map, so this must not run within the iteration above.
    expired.forEach(r -> r.connection().channel().close());
    idle.values().removeIf(Deque::isEmpty);
    states.values().removeIf(s -> s.isClosed() && s.openConnections() == 0);
  }

  /** Closes all idle connections to a process after one of its connections went silent. */
  void closeIdle(BackendState state) {
    Deque<IdleConnection> idleConnections = idle.get(Key.of(state));
    if (idleConnections != null) {
      List.copyOf(idleConnections).forEach(r -> r.connection().channel().close());
    }
  }
}

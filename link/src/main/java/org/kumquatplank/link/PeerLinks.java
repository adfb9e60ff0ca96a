package org.kumquatplank.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import org.kumquatplank.link.proto.Frame;

/**
 * The links of an instance to its peers.
 *
 * <p>Thread-safe. Each instance connects to every peer and sends its requests on its own outbound
 * connection. A caller that gets no reply by the deadline can close the connection with {@link
 * #disconnect}, since it may never deliver another reply; {@link #setPeers} then reconnects. I/O
 * runs on two event loop threads, and received frames are handled on virtual threads.
 */
public final class PeerLinks implements AutoCloseable {
  private static final int IO_THREADS = 2;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final Duration RECONNECT_DELAY = Duration.ofMillis(300);

  private final String self;
  private final SharedSecret secret;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final Map<String, Connection> outbound = new ConcurrentHashMap<>();
  private final Channel server;

  private PeerLinks(String self, SharedSecret secret, String host, int port, PeerHandler handler) {
    this.self = self;
    this.secret = secret;
    this.server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(new LinkPipeline(() -> new InboundLink(self, secret, handler, executor)))
            .bind(new InetSocketAddress(host, port))
            .syncUninterruptibly()
            .channel();
  }

  /** An outbound link and the earliest time of the next connection attempt. */
  private record Connection(PeerAddress address, OutboundLink link, Instant reconnectAt) {}

  /** Opens the listener of an instance. Port 0 selects a free one. */
  public static PeerLinks open(
      String self, SharedSecret secret, String host, int port, PeerHandler handler) {
    return new PeerLinks(self, secret, host, port, handler);
  }

  /** Returns the port of the listener. */
  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /**
   * Sets the peers to be connected to.
   *
   * <p>Closes the links to other peers and starts connections to the missing ones. To be called
   * periodically, since failed connections are retried only here.
   */
  public void setPeers(Collection<PeerAddress> peers) {
    Set<String> wanted = peers.stream().map(PeerAddress::instance).collect(Collectors.toSet());
    for (String current : outbound.keySet()) {
      if (!wanted.contains(current)) {
        close(current);
      }
    }
    Instant now = Instant.now();
    for (PeerAddress peer : peers) {
      Connection connection = outbound.get(peer.instance());
      boolean connectNow =
          connection == null
              || (!connection.link().isReady() && now.isAfter(connection.reconnectAt()));
      if (connectNow) {
        connect(peer, now);
      }
    }
  }

  private void connect(PeerAddress peer, Instant now) {
    OutboundLink link = new OutboundLink(self, peer, secret);
    outbound.put(peer.instance(), new Connection(peer, link, now.plus(RECONNECT_DELAY)));
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new LinkPipeline(() -> link))
        .connect(peer.host(), peer.port());
  }

  private void close(String peer) {
    Connection connection = outbound.remove(peer);
    if (connection != null) {
      connection.link().close();
    }
  }

  /** Returns the peers with an authenticated, open outbound link. */
  public Set<String> connectedPeers() {
    return outbound.entrySet().stream()
        .filter(e -> e.getValue().link().isReady())
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * Sends a request to a peer and waits for its reply.
   *
   * @return the reply, or empty when none arrives by the deadline or the link fails
   */
  public Optional<Frame> request(String peer, Frame.Builder body, Instant deadline) {
    Connection connection = outbound.get(peer);
    if (connection == null) {
      return Optional.empty();
    }
    CompletableFuture<Frame> reply = connection.link().request(body);
    long millis = Math.max(1, Duration.between(Instant.now(), deadline).toMillis());
    try {
      return Optional.of(reply.get(millis, TimeUnit.MILLISECONDS));
    } catch (TimeoutException e) {
      reply.cancel(false);
      return Optional.empty();
    } catch (ExecutionException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  /** Sends a frame without a reply; drops it when there is no link or its buffer is full. */
  public void send(String peer, Frame.Builder body) {
    Connection connection = outbound.get(peer);
    if (connection != null) {
      connection.link().send(body);
    }
  }

  /** Closes the link to an unresponsive peer; {@link #setPeers} reconnects it. */
  public void disconnect(String peer) {
    Connection connection = outbound.get(peer);
    if (connection != null) {
      connection.link().close();
    }
  }

  @Override
  public void close() {
    outbound.keySet().forEach(this::close);
    server.close().syncUninterruptibly();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    executor.shutdownNow();
  }
}

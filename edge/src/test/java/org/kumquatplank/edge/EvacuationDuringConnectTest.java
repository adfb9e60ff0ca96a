package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.catalog.RegionRule;
import org.kumquatplank.core.catalog.RetrySafety;
import org.kumquatplank.core.catalog.Route;
import org.kumquatplank.core.catalog.ServiceInfo;
import org.kumquatplank.core.catalog.ServiceShare;
import org.kumquatplank.core.dispatch.DispatchRequest;
import org.kumquatplank.platform.wire.BackendDecoder;
import org.kumquatplank.platform.wire.CallerProtocol;
import org.kumquatplank.platform.wire.EdgeSettings;
import org.kumquatplank.testkit.fleet.FakeBackendServer;
import org.kumquatplank.testkit.fleet.FakeBackendServer.Behaviour;

/** An evacuation that begins while the connection for a request is being opened. */
class EvacuationDuringConnectTest {
  private static final String HOST = "127.0.0.1";
  private static final InetSocketAddress UNUSED =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
  private static final ServiceInfo SERVICE =
      new ServiceInfo("pool", 64, Optional.empty(), Map.of());
  private static final Route ROUTE =
      new Route(
          "order",
          "h",
          "/order/",
          RetrySafety.ONCE,
          false,
          List.of(new ServiceShare("pool", 1)),
          3_000,
          400,
          0,
          1,
          1,
          true,
          false,
          new RegionRule.Anywhere(),
          List.of());

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final CompletableFuture<String> response = new CompletableFuture<>();

  /** Completes the response with its status and body. */
  private final class Writer implements ResponseWriter {
    @Override
    public void respond(CallerResponse made) {
      FullHttpResponse message = made.message();
      String body = message.content().toString(StandardCharsets.UTF_8);
      response.complete(message.status().code() + " " + body);
    }

    @Override
    public void beginStream(int status, HttpHeaders headers) {}

    @Override
    public void sendEvents(ByteBuf events) {}

    @Override
    public void endStream() {}

    @Override
    public void abort() {}

    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public boolean isWritable() {
      return true;
    }
  }

  private static EdgeSettings settings() {
    return new EdgeSettings(
        "self",
        HOST,
        "a",
        "r",
        Map.of("a", "r", "b", "r"),
        UNUSED,
        UNUSED,
        UNUSED,
        UNUSED,
        1,
        List.of(),
        UNUSED,
        new EdgeSettings.Limits(0.9, 50, 10_000, 8_000, 5, 3_000, 1, 0),
        EdgeSettings.Resources.UNLIMITED);
  }

  private static BackendServer server(FakeBackendServer backend, String failureDomain) {
    String entry =
        backend
            .entry("pool", "ready")
            .replace("\"zone\":\"a\"", "\"zone\":\"" + failureDomain + "\"");
    return BackendDecoder.decode(backend.id(), entry.getBytes(StandardCharsets.UTF_8));
  }

  private static FakeBackendServer open(String id) throws IOException {
    return FakeBackendServer.open(HOST, id, r -> new Behaviour.Answer(200, "from " + id));
  }

  /** Sends a request and begins the evacuation before the loop can complete the connection. */
  private Exchange sendAndEvacuate(List<BackendServer> servers) {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/order/x");
    head.headers().set("Host", "h").set("X-Attempt-Id", "x").set("X-Deadline-Ms", "3000");
    head.headers().set("Content-Length", "0");
    return loop.submit(
            () -> {
              SendGate gate = new SendGate(loop);
              EdgeMetrics metrics = new EdgeMetrics();
              Dispatcher dispatcher =
                  new Dispatcher(
                      settings(), EdgeOptions.DEFAULT, new BackendPool(loop, gate), gate, metrics);
              dispatcher.setServers(servers);
              long now = Clock.micros();
              DispatchRequest request =
                  new DispatchRequest(
                      "x",
                      ROUTE,
                      "pool",
                      "",
                      1,
                      new RegionRule.Anywhere(),
                      Optional.empty(),
                      List.of(),
                      0,
                      0,
                      now,
                      now + 3_000_000);
              Exchange exchange =
                  new Exchange(
                      dispatcher,
                      new Writer(),
                      new ForwardedRequest(CallerProtocol.decode(head), new byte[0], request),
                      SERVICE,
                      new BufferLimit(new CallerMemory(settings().resources(), metrics)));
              dispatcher.start(exchange);
              dispatcher.setEvacuated(Set.of("a"));
              return exchange;
            })
        .syncUninterruptibly()
        .getNow();
  }

  @AfterTry
  void stop() {
    loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Example
  void testRequestIsNotWrittenAndTurnedAwayAsNotRun() throws Exception {
    try (FakeBackendServer evacuated = open("i-0")) {
      sendAndEvacuate(List.of(server(evacuated, "a")));
      assertThat(response.get(5, TimeUnit.SECONDS)).startsWith("503").contains("are evacuated");
      assertThat(evacuated.received()).isEmpty();
    }
  }

  /** The request may be sent once, and the attempt that was not written does not count. */
  @Example
  void testRequestIsSentToAnotherFailureDomainAsItsFirstSend() throws Exception {
    try (FakeBackendServer evacuated = open("i-0");
        FakeBackendServer other = open("i-1")) {
      Exchange exchange = sendAndEvacuate(List.of(server(evacuated, "a"), server(other, "b")));
      assertThat(response.get(5, TimeUnit.SECONDS)).isEqualTo("200 from i-1");
      assertThat(evacuated.received()).isEmpty();
      assertThat(exchange.sendCount()).isEqualTo(1);
    }
  }
}

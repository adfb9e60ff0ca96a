package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import net.jqwik.api.Example;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.membership.ListedInstance.Role;
import org.kumquatplank.core.routing.RoutingRequest;
import org.kumquatplank.http.Headers;
import org.kumquatplank.http.HttpListener;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;
import org.kumquatplank.http.ServerLimits;
import org.kumquatplank.platform.RatingClient;

class ChatExecutionTest {
  private static final WorkClass TITLE =
      new WorkClass("title", 0.7, 60_000, 120_000, 1_000_000_000, WorkClass.WhenUnmet.BEST);
  private static final ClientAccount ACCOUNT =
      new ClientAccount("hq", "", Set.of("title"), Set.of("*"), Set.of());
  private static final String CHANGE =
      InstanceFixture.change(
          0,
          new ConfigOp.Put(TITLE),
          new ConfigOp.Put(ACCOUNT),
          new ConfigOp.Put(new ModelVersion("cheap", 0, 1_000_000, Stage.LIVE)),
          new ConfigOp.Put(new ModelVersion("dear", 0, 100_000_000, Stage.LIVE)));

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  /** Answers as an engine, and as a rating service during which every confirmation expires. */
  private static Response respond(InstanceFixture instance, Request request) {
    if (request.path().equals("/v1/ratings")) {
      instance.nanos.set(InstanceFixture.STALE_NANOS);
      return Response.json(200, "{\"rating\":0.1}");
    }
    String id = request.headers().first("Request-Id").orElse("");
    String chunk =
        "data: {\"id\":\"%s\",\"choices\":[{\"delta\":{\"content\":%s},\"finish_reason\":%s}]}\n\n";
    return new Response.Streamed(
        200,
        Headers.none().with("Request-Id", id),
        "text/event-stream",
        sink -> {
          sink.write(chunk.formatted(id, "\"word \"", "null"));
          sink.write(chunk.formatted(id, "null", "\"stop\""));
          sink.write("data: [DONE]\n\n");
        });
  }

  /** Adds ratings with which a cascade is the cheapest plan. */
  private static void rate(InstanceFixture instance) {
    instance.controlThread.call(
        () -> {
          for (int i = 0; i < 60; i++) {
            instance.state.quality().addRating(TITLE, "cheap", i % 2 == 0 ? 0.9 : 0.1);
            instance.state.quality().addRating(TITLE, "dear", 0.9);
          }
          instance.state.quality().demote("title", "cheap");
          return true;
        });
  }

  private ChatExecution executionAt(InstanceFixture instance, HttpListener server) {
    MicroClock clock = MicroClock.system();
    StreamMonitor monitor = new StreamMonitor(instance.state, clock);
    PooledHttpClient client = PooledHttpClient.create();
    RatingClient ratings = RatingClient.create(client, "127.0.0.1:" + server.port());
    ChatDependencies dependencies =
        new ChatDependencies(
            new RouterFacade(instance.controlThread, instance.state, instance.gate, monitor, clock),
            client,
            instance.billTracker,
            new RatingCollector(
                ratings, instance.controlThread, instance.state, executor, pair -> {}),
            ratings,
            instance.requestLog);
    RoutingRequest request =
        new RoutingRequest("id", "hq", TITLE, 1, Optional.empty(), false, clock.micros());
    ChatRequest chatRequest =
        new ChatRequest("title", List.of(new ChatMessage("user", "a title")), false, 8L);
    return new ChatExecution(dependencies, request, chatRequest, "id");
  }

  private static TextSink discardingSink() {
    return new TextSink() {
      @Override
      public void setVersion(String version) {}

      @Override
      public void append(String text) {}
    };
  }

  // The caller was told that no engine received the request, and was charged for the first version.
  @Example
  void testStaleConfigurationBeforeTheSecondVersionDoesNotHideTheFirst() {
    try (InstanceFixture instance = new InstanceFixture();
        HttpListener server =
            HttpListener.open(
                "127.0.0.1", 0, ServerLimits.defaults(), request -> respond(instance, request))) {
      instance.applyRecord(0, CHANGE);
      instance.freshness.confirmByLog(0);
      instance.setInstances(
          InstanceFixture.listed("e1", Role.ENGINE, server.port(), Set.of("cheap", "dear")));
      rate(instance);
      ChatExecution execution = executionAt(instance, server);
      execution.submit();
      RouterException failure =
          catchThrowableOfType(
              RouterException.class, () -> execution.execute(discardingSink(), until -> {}));
      assertThat(failure.code()).isEqualTo(ErrorCode.STALE_CONFIGURATION);
      assertThat(execution.usage().completion_tokens()).isEqualTo(1);
      assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.RAN);
    }
  }
}

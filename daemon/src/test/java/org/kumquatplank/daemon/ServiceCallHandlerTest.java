package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.claims.ClaimKey;
import org.kumquatplank.core.claims.NonIdempotentCall;
import org.kumquatplank.core.claims.Outcome;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.PlainService;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.membership.ListedInstance.Role;
import org.kumquatplank.http.Headers;
import org.kumquatplank.http.HttpListener;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;
import org.kumquatplank.http.ServerLimits;

class ServiceCallHandlerTest {
  private static final ClientAccount ACCOUNT =
      new ClientAccount("hq", "", Set.of(), Set.of(), Set.of("press"));
  private static final PlainService SERVICE = new PlainService("press", List.of(), false, 5_000);

  private static ServiceCallHandler handlerOf(InstanceFixture instance) {
    return new ServiceCallHandler(
        instance.state::snapshot,
        instance.gate,
        PooledHttpClient.create(),
        new ServicePool("region"),
        instance.billTracker,
        instance.requestLog,
        () -> "id",
        MicroClock.system());
  }

  private static Response failAfterConfirmationExpired(InstanceFixture instance) {
    instance.nanos.set(InstanceFixture.STALE_NANOS);
    return Response.json(500, "{}");
  }

  private static HttpListener serverThatFailsWith(int status) {
    return HttpListener.open(
        "127.0.0.1",
        0,
        ServerLimits.defaults(),
        request ->
            new Response.Full(
                status,
                Headers.none().with("Request-Id", request.headers().first("Request-Id").orElse("")),
                Response.JSON,
                "{}"));
  }

  private static void configure(InstanceFixture instance, HttpListener server) {
    instance.applyRecord(
        0, InstanceFixture.change(0, new ConfigOp.Put(ACCOUNT), new ConfigOp.Put(SERVICE)));
    instance.freshness.confirmByLog(0);
    instance.setInstances(
        InstanceFixture.listed("s1", Role.SERVICE, server.port(), Set.of()),
        InstanceFixture.listed("s2", Role.SERVICE, server.port(), Set.of()));
  }

  /** Guards against a "not run" for a call that a server failed after it ran it. */
  @Example
  void testFailureOfAServerWithServiceUnavailableIsUnknown() {
    try (InstanceFixture instance = new InstanceFixture();
        HttpListener server = serverThatFailsWith(503)) {
      configure(instance, server);
      ServiceCallHandler handler = handlerOf(instance);
      RouterException failure =
          catchThrowableOfType(
              RouterException.class,
              () -> handler.handle(ACCOUNT, Request.get("/v1/services/press/x")));
      assertThat(failure.code()).isEqualTo(ErrorCode.BACKEND_FAILED);
      assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
      Outcome outcome =
          handler.dispatchNonIdempotent(
              new NonIdempotentCall(
                  new ClaimKey("hq", "press/k"),
                  "POST",
                  "/press/x",
                  "",
                  Instant.now().plusSeconds(5)));
      assertThat(outcome).isEqualTo(new Outcome.Lost("the server failed with status 503"));
    }
  }

  // The caller was told that no server received the call, though the first one did.
  @Example
  void testStaleConfigurationBeforeARetryDoesNotHideTheFirstAttempt() {
    try (InstanceFixture instance = new InstanceFixture();
        HttpListener server =
            HttpListener.open(
                "127.0.0.1",
                0,
                ServerLimits.defaults(),
                request -> failAfterConfirmationExpired(instance))) {
      configure(instance, server);
      RouterException failure =
          catchThrowableOfType(
              RouterException.class,
              () -> handlerOf(instance).handle(ACCOUNT, Request.get("/v1/services/press/x")));
      assertThat(failure.code()).isEqualTo(ErrorCode.STALE_CONFIGURATION);
      assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
    }
  }
}

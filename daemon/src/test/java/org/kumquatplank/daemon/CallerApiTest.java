package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Duration;
import java.util.Set;
import net.jqwik.api.Example;
import org.kumquatplank.core.claims.Fingerprint;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;

class CallerApiTest {
  private static final ClientAccount ACCOUNT =
      new ClientAccount("hq", Fingerprint.sha256("key"), Set.of("title"), Set.of(), Set.of());

  private static CallerApi apiOf(InstanceFixture instance) {
    instance.applyRecord(0, InstanceFixture.change(0, new ConfigOp.Put(ACCOUNT)));
    instance.freshness.confirmByLog(0);
    return new CallerApi(
        instance.state::snapshot,
        instance.gate,
        null,
        null,
        null,
        InstanceFixture.SELF,
        Duration.ofSeconds(1));
  }

  private static Request modelsWith(String credential) {
    return Request.get("/v1/models").withHeader("Authorization", "Bearer " + credential);
  }

  private static ErrorCode errorOf(CallerApi api, Request request) {
    return catchThrowableOfType(RouterException.class, () -> api.handle(request)).code();
  }

  private static ExecutionStatus statusOf(CallerApi api, Request request) {
    return catchThrowableOfType(RouterException.class, () -> api.handle(request)).executionStatus();
  }

  @Example
  void testUnknownCredentialIsWrongWhileTheConfigurationIsFresh() {
    try (InstanceFixture instance = new InstanceFixture()) {
      CallerApi api = apiOf(instance);
      assertThat(api.handle(modelsWith("key"))).isInstanceOf(Response.Full.class);
      assertThat(errorOf(api, modelsWith("new-key"))).isEqualTo(ErrorCode.CREDENTIAL_WRONG);
    }
  }

  // A caller with a key that the instance had not heard of was told that the key is wrong.
  @Example
  void testStaleInstanceDoesNotJudgeCredentials() {
    try (InstanceFixture instance = new InstanceFixture()) {
      CallerApi api = apiOf(instance);
      instance.nanos.set(InstanceFixture.STALE_NANOS);
      assertThat(errorOf(api, modelsWith("new-key"))).isEqualTo(ErrorCode.STALE_CONFIGURATION);
      assertThat(errorOf(api, modelsWith("key"))).isEqualTo(ErrorCode.STALE_CONFIGURATION);
    }
  }

  // Another instance may have run the booking under this key before.
  @Example
  void testRejectionBeforeLookupOfIdempotencyKeyDoesNotSayNotRun() {
    try (InstanceFixture instance = new InstanceFixture()) {
      CallerApi api = apiOf(instance);
      instance.nanos.set(InstanceFixture.STALE_NANOS);
      Request booking =
          Request.post("/v1/services/press/bookings", "{}")
              .withHeader("Authorization", "Bearer key");
      assertThat(statusOf(api, booking)).isEqualTo(ExecutionStatus.NOT_RUN);
      assertThat(statusOf(api, booking.withHeader("Idempotency-Key", "k")))
          .isEqualTo(ExecutionStatus.UNKNOWN);
    }
  }
}

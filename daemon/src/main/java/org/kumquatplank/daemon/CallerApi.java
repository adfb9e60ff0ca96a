package org.kumquatplank.daemon;

import com.google.gson.Gson;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.RendezvousHashing;
import org.kumquatplank.http.Handler;
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;

/** HTTP API for callers. Thread-safe. */
final class CallerApi implements Handler {
  private static final Gson GSON = new Gson();
  private static final int OK = 200;
  private static final String SERVICES_PREFIX = "/v1/services/";

  private final Supplier<ControlSnapshot> snapshots;
  private final DispatchGate gate;
  private final ChatService chat;
  private final ServiceCallHandler serviceCalls;
  private final Drain drain;
  private final String self;
  private final Duration addressLifetime;

  CallerApi(
      Supplier<ControlSnapshot> snapshots,
      DispatchGate gate,
      ChatService chat,
      ServiceCallHandler serviceCalls,
      Drain drain,
      String self,
      Duration addressLifetime) {
    this.snapshots = snapshots;
    this.gate = gate;
    this.chat = chat;
    this.serviceCalls = serviceCalls;
    this.drain = drain;
    this.self = self;
    this.addressLifetime = addressLifetime;
  }

  /** Addresses to use, best first, and the time until which the caller may cache them. */
  private record Addresses(List<String> addresses, String expires_at) {}

  /** Response that lists the classes in the format of the chat-completions API. */
  private record Models(String object, List<Model> data) {}

  /** One class, listed as a model. */
  private record Model(String id, String object, String owned_by) {}

  @Override
  public Response handle(Request request) {
    if (request.path().equals("/v1/addresses")) {
      requireMethod(request, "GET");
      return addresses(request.parameter("region").orElse(""));
    }
    ClientAccount account = authenticate(request);
    if (request.path().equals("/v1/chat/completions")) {
      requireMethod(request, "POST");
      return chat.handle(account, request);
    }
    if (request.path().equals("/v1/models")) {
      requireMethod(request, "GET");
      return models(account);
    }
    if (request.path().startsWith(SERVICES_PREFIX)) {
      return serviceCalls.handle(account, request);
    }
    throw RouterException.notRun(ErrorCode.NOT_FOUND, "there is nothing at this path");
  }

  private ClientAccount authenticate(Request request) {
    try {
      return Authentication.authenticate(gate.requireFreshConfiguration(), request);
    } catch (RouterException e) {
      throw ServiceCallHandler.rejectionBeforeKeyLookup(request, e);
    }
  }

  private static void requireMethod(Request request, String method) {
    if (!request.method().equals(method)) {
      throw RouterException.notRun(
          ErrorCode.METHOD_NOT_ALLOWED, "this path takes the method " + method);
    }
  }

  private static Response models(ClientAccount account) {
    List<Model> models =
        account.classes().stream()
            .sorted()
            .map(c -> new Model(c, "model", "kumquatplank"))
            .toList();
    return Response.json(OK, GSON.toJson(new Models("list", models)));
  }

  private Response addresses(String region) {
    ControlSnapshot snapshot = snapshots.get();
    String ownRegion = snapshot.instances().find(self).map(ListedInstance::region).orElse("");
    String preferredRegion = region.isEmpty() ? ownRegion : region;
    String shuffleKey = Long.toString(System.nanoTime());
    List<String> addresses =
        snapshot.instances().entries().stream()
            .filter(e -> !e.leaving() && !snapshot.drainingPeers().contains(e.id()))
            .filter(e -> !(e.id().equals(self) && drain.isDraining()))
            .sorted(
                Comparator.comparing((ListedInstance e) -> !e.region().equals(preferredRegion))
                    .thenComparing(e -> RendezvousHashing.weight(shuffleKey, e.id())))
            .map(ListedInstance::endpoint)
            .toList();
    String expires = Instant.now().plus(addressLifetime).toString();
    return Response.json(OK, GSON.toJson(new Addresses(addresses, expires)));
  }
}

package org.kumquatplank.daemon;

import com.google.gson.Gson;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.Rendezvous;
import org.kumquatplank.http.Handler;
import org.kumquatplank.http.Reply;
import org.kumquatplank.http.Request;

/** The callers' interface. Thread-safe. */
final class CallerApi implements Handler {
  private static final Gson GSON = new Gson();
  private static final int OK = 200;
  private static final String SERVICES = "/v1/services/";

  private final Supplier<ControlSnapshot> view;
  private final ChatService chat;
  private final ServiceCalls services;
  private final Drain drain;
  private final String self;
  private final Duration addressLifetime;

  CallerApi(
      Supplier<ControlSnapshot> view,
      ChatService chat,
      ServiceCalls services,
      Drain drain,
      String self,
      Duration addressLifetime) {
    this.view = view;
    this.chat = chat;
    this.services = services;
    this.drain = drain;
    this.self = self;
    this.addressLifetime = addressLifetime;
  }

  /** The addresses to use, best first, and the time until which the answer may be kept. */
  private record Addresses(List<String> addresses, String expires_at) {}

  /** The list of classes. */
  private record Models(String object, List<Model> data) {}

  /** One class, in the shape of a model. */
  private record Model(String id, String object, String owned_by) {}

  @Override
  public Reply handle(Request request) {
    if (request.path().equals("/v1/addresses")) {
      requireMethod(request, "GET");
      return addresses(request.parameter("region").orElse(""));
    }
    Configuration configuration = view.get().configuration();
    if (configuration.version() == 0) {
      throw RouterException.notRun(
          ErrorCode.NOT_READY, "this instance has no configuration yet; use another address");
    }
    ClientAccount account = Accounts.authenticate(configuration, request);
    if (request.path().equals("/v1/chat/completions")) {
      requireMethod(request, "POST");
      return chat.handle(account, request);
    }
    if (request.path().equals("/v1/models")) {
      requireMethod(request, "GET");
      return models(account);
    }
    if (request.path().startsWith(SERVICES)) {
      return services.handle(account, request);
    }
    throw RouterException.notRun(ErrorCode.NOT_FOUND, "there is nothing at this path");
  }

  private static void requireMethod(Request request, String method) {
    if (!request.method().equals(method)) {
      throw RouterException.notRun(
          ErrorCode.METHOD_NOT_ALLOWED, "this path takes the method " + method);
    }
  }

  private static Reply models(ClientAccount account) {
    List<Model> models =
        account.classes().stream()
            .sorted()
            .map(c -> new Model(c, "model", "kumquatplank"))
            .toList();
    return Reply.json(OK, GSON.toJson(new Models("list", models)));
  }

  private Reply addresses(String region) {
    ControlSnapshot current = view.get();
    String ownRegion = current.instances().find(self).map(ListedInstance::region).orElse("");
    String wanted = region.isEmpty() ? ownRegion : region;
    String spread = Long.toString(System.nanoTime());
    List<String> addresses =
        current.instances().entries().stream()
            .filter(e -> !e.leaving() && !current.drainingPeers().contains(e.id()))
            .filter(e -> !(e.id().equals(self) && drain.isDraining()))
            .sorted(
                Comparator.comparing((ListedInstance e) -> !e.region().equals(wanted))
                    .thenComparing(e -> Rendezvous.weight(spread, e.id())))
            .map(ListedInstance::endpoint)
            .toList();
    String expires = Instant.now().plus(addressLifetime).toString();
    return Reply.json(OK, GSON.toJson(new Addresses(addresses, expires)));
  }
}

package rig;

/** Configurations as the operator writes them. */
public final class Config {
  private Config() {}

  /** A route of one service. */
  public static String route(
      String name, String prefix, String kind, String service, int timeoutMs, int targetMs, String more) {
    return """
        {"name":"%s","host":"h.example","path_prefix":"%s","kind":"%s","timeout_ms":%d,"target_latency_ms":%d,"priority":1,"service":"%s","max_attempts":3,"allow_anonymous":false%s}"""
        .formatted(name, prefix, kind, timeoutMs, targetMs, service, more);
  }

  /** A configuration with one account, whose key is key-1. */
  public static String of(int version, String routes, String services, int maxHeader, int maxBody) {
    return """
        {"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key-1"],"priority":1}]}"""
        .formatted(version, routes, services, maxHeader, maxBody);
  }

  public static String plain(String name, int connections) {
    return "{\"name\":\"%s\",\"health_check_path\":\"/health\",\"connection_limit\":%d}"
        .formatted(name, connections);
  }

  public static String engine(String name, int connections, int slots) {
    return """
        {"name":"%s","health_check_path":"/health","connection_limit":%d,"engine":{"slots":%d,"kv_cache_tokens":416863,"models":[{"name":"m0","cost":0.02},{"name":"m1","cost":0.2}]}}"""
        .formatted(name, connections, slots);
  }
}

package org.kumquatplank.edge;

/** Trial values of constants. */
final class Tuning {
  private Tuning() {}

  static double d(String name, double otherwise) {
    return Double.parseDouble(System.getProperty("kp." + name, Double.toString(otherwise)));
  }
}

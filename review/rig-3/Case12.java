/** After a roll-back, replicas of the next version get requests before anybody orders it. */
final class Case12 {
  private Case12() {}

  public static void main(String[] arguments) {
    Rig.run(arguments, UnorderedVersion::run);
  }
}

/** The store moves and SIGHUP says so; its old address answers with 503 from then on. */
final class Case13 {
  private Case13() {}

  public static void main(String[] arguments) {
    Rig.run(arguments, StoreMove::run);
  }
}

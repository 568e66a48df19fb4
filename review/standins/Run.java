/** Runs the case that the first argument names. A case that fails itself could not run, which is no finding. */
final class Run {
    public static void main(String[] args) {
        try {
            Class.forName(args[0]).getDeclaredMethod("main", String[].class).invoke(null, (Object) new String[] {args[1]});
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}

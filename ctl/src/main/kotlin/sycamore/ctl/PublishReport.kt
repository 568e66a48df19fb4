package sycamore.ctl

/** Prints the result of a publish. */
internal class PublishReport(
    private val terminal: Terminal,
) {
    /** Prints [published], the result of the publish with the id [publishId], and returns the exit status. */
    fun show(
        published: PublishResult,
        publishId: String,
    ): Exit =
        when (published) {
            is PublishResult.Accepted -> done("accepted: generation ${published.generation}")
            is PublishResult.Unchanged -> done("unchanged: generation ${published.generation} says the same")
            is PublishResult.Preview -> preview(published)
            is PublishResult.Unconfirmed -> unconfirmed(published)
            is PublishResult.Conflicting -> conflicting(published)
            is PublishResult.Invalid -> terminal.printFindings(published.findings).let { Exit.FAILED }
            is PublishResult.Failed -> failed("not accepted: ${published.reason}")
            is PublishResult.OutcomeUnknown -> outcomeUnknown(published, publishId)
        }

    private fun done(line: String): Exit {
        terminal.printLine(line)
        return Exit.DONE
    }

    private fun failed(line: String): Exit {
        terminal.printNotice(line)
        return Exit.FAILED
    }

    private fun preview(preview: PublishResult.Preview): Exit {
        preview.changes.forEach(terminal::printLine)
        preview.dangers.forEach { terminal.printLine("needs --confirm $it") }
        return done("dry run: ${preview.changes.size} values would change")
    }

    private fun unconfirmed(refused: PublishResult.Unconfirmed): Exit {
        refused.changes.forEach(terminal::printLine)
        refused.dangers.forEach { terminal.printNotice("refused without --confirm $it") }
        return failed("not accepted: ${refused.dangers.size} dangerous changes are not confirmed")
    }

    private fun conflicting(conflict: PublishResult.Conflicting): Exit {
        val labels = conflict.labels.joinToString()
        return failed("not accepted: ${conflict.by} changed $labels in generation ${conflict.generation} meanwhile")
    }

    private fun outcomeUnknown(
        published: PublishResult.OutcomeUnknown,
        publishId: String,
    ): Exit = failed("not known yet: ${published.reason}; ask again with: sycamorectl show --publish $publishId")
}

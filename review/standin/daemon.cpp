#include "daemon.hpp"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace tanagerhoist::review
{
namespace
{

std::string fill_in(std::string text, const placeholders& values)
{
    for (const auto& [name, value] : values)
    {
        const auto placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder))
        {
            text.replace(at, placeholder.size(), value);
        }
    }
    if (text.find("{{") != std::string::npos)
    {
        throw std::runtime_error("unknown placeholder in deploy/daemon.ini");
    }
    return text;
}

} // namespace

daemon::daemon(const std::string& root, const std::string& folder,
               const placeholders& values, record& lines)
    : root_(root),
      name_(values.at("nodeName")),
      settings_(folder + '/' + name_ + ".ini"),
      log_(folder + '/' + name_ + ".log"),
      record_(lines)
{
    std::ifstream input(root + "/deploy/daemon.ini");
    std::stringstream text;
    text << input.rdbuf();
    std::ofstream(settings_) << fill_in(text.str(), values);
}

daemon::~daemon()
{
    kill();
}

void daemon::start()
{
    const auto program = root_ + "/target/tools/tanagerhoistd";
    process_ = fork();
    if (process_ == 0)
    {
        const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                             S_IRUSR | S_IWUSR);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execl(program.c_str(), program.c_str(), settings_.c_str(),
              static_cast<char*>(nullptr));
        constexpr int not_found = 127;
        _exit(not_found);
    }
    record_.write(name_ + " is started");
}

void daemon::send_signal(int number)
{
    if (process_ > 0)
    {
        record_.write(name_ + " gets signal " + std::to_string(number));
        ::kill(process_, number);
    }
}

void daemon::kill()
{
    if (process_ > 0)
    {
        send_signal(SIGKILL);
        waitpid(process_, nullptr, 0);
        process_ = 0;
    }
}

bool daemon::has_ended()
{
    int status = 0;
    if (process_ <= 0 || waitpid(process_, &status, WNOHANG) != process_)
    {
        return false;
    }
    process_ = 0;
    record_.write(name_ + " has ended by itself, " +
                  (WIFSIGNALED(status)
                       ? "killed by signal " + std::to_string(WTERMSIG(status))
                       : "code " + std::to_string(WEXITSTATUS(status))));
    return true;
}

} // namespace tanagerhoist::review
